#pragma once

#include "base/Mailbox.h"
#include "config/Configuration.h"
#include "replication/Group.h"
#include "upstream/UpstreamAdapter.h"
#include "zone/Beacon.h"
#include "zone/LeaderTerm.h"
#include "zone/SchedulerOptions.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"
#include "zone/ZoneStore.h"

#include <functional>
#include <memory>
#include <string>

namespace cranberryreel::zone
{

/// One VM's part in scheduling its availability zone: idle while another member leads the zone group, and the zone's scheduler while this one does. Calls
/// and events are posted to its own thread. Owned by the daemon, next to the group it listens to.
class ZoneScheduler : public replication::LeadershipListener
{
public:
    using ConfigurationSource = std::function<std::shared_ptr<const config::Configuration>()>;
    using BeaconSender = std::function<void(const Beacon &)>;

    ZoneScheduler(SchedulerOptions schedulerOptions, ZoneStore &zoneStore, upstream::UpstreamAdapter &upstreamAdapter, ConfigurationSource configurationSource);
    ~ZoneScheduler() override;

    /// Before the group starts. The group must stay until stop().
    void attach(replication::Group &zoneGroup, BeaconSender beaconSender);
    void start();
    void stop();

    void leadershipAcquired(std::uint64_t term) override;
    void leadershipLost(std::uint64_t term) override;

    /// A call from any daemon; answered once, from any thread. Any thread.
    void call(ZoneCall zoneCall, std::string traceparent, Reply reply);

    /// A new configuration is in force. Any thread.
    void configurationChanged();

private:
    void beginTerm(std::uint64_t term);
    void endTerm();
    void guard(std::uint64_t term, base::Mailbox::Item item);
    void wantPump();
    void tick();

    SchedulerOptions options;
    ZoneStore &store;
    upstream::UpstreamAdapter &adapter;
    ConfigurationSource configuration;
    replication::Group *group = nullptr;
    BeaconSender sendBeacon;
    base::SteadyTime nextBeacon;
    bool pumpWanted = false;
    std::unique_ptr<LeaderTerm> active; ///< The mailbox's thread only.
    base::Mailbox mailbox;
};

} // namespace cranberryreel::zone
