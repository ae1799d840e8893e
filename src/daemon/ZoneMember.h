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

/// This VM's member of one zone group: the replicated store and, unless this VM is the zone's witness, the scheduler. Owned by Daemon.
class ZoneMember
{
public:
    using BeaconSender = std::function<void(const zone::Beacon &)>;

    /// The referenced objects must outlive the member.
    ZoneMember(const settings::Settings &settings,
               const settings::ZoneSettings &zoneOfGroup,
               link::LinkHub &linkHub,
               upstream::UpstreamAdapter &adapter,
               config::ConfigService &configService,
               const BeaconSender &beaconSender);
    ~ZoneMember();

    void start();

    /// Transfers leadership if this VM is the leader, and stops the group member, within the limit.
    void stopGroup(std::chrono::milliseconds limit);
    void stop();

    void receive(const std::string &fromVm, std::string bytes);
    void call(zone::ZoneCall zoneCall, std::string traceparent, zone::Reply reply);
    void configurationChanged();
    replication::GroupStatus status() const;

private:
    bool isWitness() const;

    settings::ZoneSettings zoneSettings;
    std::string ownVm;
    zone::ZoneStore store;
    std::unique_ptr<zone::ZoneScheduler> scheduler; ///< Null if this VM is the witness.
    std::unique_ptr<replication::Group> group;
};

} // namespace cranberryreel::daemon
