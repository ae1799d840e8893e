#pragma once

#include "base/Mailbox.h"
#include "cranberryreel/base/Clock.h"
#include "link/LinkHub.h"
#include "routing/ZoneDirectory.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace cranberryreel::routing
{

/// What came of a call to a zone's scheduler. NoLeader: none answered in time; then `mayExist` tells whether the call may have been acted on.
using CallOutcome = std::function<void(zone::ZoneReply)>;

/// One call to whoever schedules a zone: finds the leader, follows corrections, tries again after losses until its limit. Every kind of call may be repeated:
/// a submit names its id, and says from the first loss on that it may be known already. Keeps itself alive until it has answered, once.
class LeaderCall : public std::enable_shared_from_this<LeaderCall>
{
public:
    struct Route {
        link::LinkHub &hub;
        ZoneDirectory &directory;
        base::Mailbox &timers;
    };

    LeaderCall(Route callRoute, zone::ZoneCall zoneCall, std::chrono::milliseconds limit, std::string traceparent, CallOutcome callDone);

    void start();

private:
    void attempt();
    void attemptAfter(std::chrono::milliseconds delay);
    void answered(const std::string &askedVm, const link::CallResult &result);
    void follow(const zone::ZoneReply &reply, const std::string &askedVm);
    void giveUp();

    Route route;
    zone::ZoneCall call;
    base::SteadyTime until;
    std::string parent;
    CallOutcome done;
    std::size_t attempts = 0;
    bool mayExist = false;
};

} // namespace cranberryreel::routing
