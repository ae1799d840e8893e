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

/// The zone scheduler of one VM: schedules the zone while this VM leads the zone group, otherwise answers with NotLeader. Calls and events are posted to the
/// scheduler's own thread. Owned by daemon::ZoneMember, together with the group whose leadership it follows.
class ZoneScheduler : public replication::LeadershipListener
{
public:
    using ConfigurationSource = std::function<std::shared_ptr<const config::Configuration>()>;
    using BeaconSender = std::function<void(const Beacon &)>;

    ZoneScheduler(SchedulerOptions schedulerOptions, ZoneStore &zoneStore, upstream::UpstreamAdapter &upstreamAdapter, ConfigurationSource configurationSource);
    ~ZoneScheduler() override;

    /// Must be called before the group starts. The group must outlive stop().
    void attach(replication::Group &zoneGroup, BeaconSender beaconSender);
    void start();
    void stop();

    void leadershipAcquired(std::uint64_t term) override;
    void leadershipLost(std::uint64_t term) override;

    /// Handles a call from any daemon. `reply` is called once, from any thread. Any thread may call this function.
    void call(ZoneCall zoneCall, std::string traceparent, ReplyCallback reply);

    /// Applies the new configuration. Any thread may call this function.
    void configurationChanged();

private:
    void beginTerm(std::uint64_t term);
    void endTerm();
    void postInTerm(std::uint64_t term, base::Mailbox::Item item);
    void requestPlanning();
    void tick();

    SchedulerOptions options;
    ZoneStore &store;
    upstream::UpstreamAdapter &adapter;
    ConfigurationSource configuration;
    replication::Group *group = nullptr;
    BeaconSender sendBeacon;
    base::SteadyTime nextBeacon;
    bool planningRequested = false;
    std::unique_ptr<LeaderTerm> activeTerm; ///< Null while another VM leads. Used on the mailbox's thread only.
    base::Mailbox mailbox;
};

} // namespace cranberryreel::zone
