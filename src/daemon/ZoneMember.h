#pragma once

#include "config/ConfigService.h"
#include "link/LinkHub.h"
#include "replication/Group.h"
#include "settings/Settings.h"
#include "upstream/UpstreamAdapter.h"
#include "zone/Beacon.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"
#include "zone/ZoneScheduler.h"
#include "zone/ZoneStore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace cranberryreel::daemon
{

/// This VM's membership in one zone group: its store, and, unless it is the zone's witness, its scheduler. Owned by Daemon.
class ZoneMember
{
public:
    using BeaconSender = std::function<void(const zone::Beacon &)>;

    /// References must outlive the member.
    ZoneMember(const settings::Settings &settings,
               const settings::ZoneSettings &ofZone,
               link::LinkHub &linkHub,
               upstream::UpstreamAdapter &adapter,
               config::ConfigService &configService,
               const BeaconSender &beaconSender);
    ~ZoneMember();

    void start();

    /// Hands leadership over where it is here, and leaves the group.
    void leave(std::chrono::milliseconds limit);
    void stop();

    void receive(const std::string &fromVm, std::string bytes);
    void call(zone::ZoneCall zoneCall, std::string traceparent, zone::ReplyCallback reply);
    void configurationChanged();
    replication::GroupStatus status() const;

private:
    bool isWitness() const;

    settings::ZoneSettings zoneSettings;
    std::string ownVm;
    zone::ZoneStore store;
    std::unique_ptr<zone::ZoneScheduler> scheduler; ///< Null on a witness.
    std::unique_ptr<replication::Group> group;
};

} // namespace cranberryreel::daemon
