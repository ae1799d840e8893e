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

/// Receives the reply to a call to a zone's leader. Code NoLeader: no scheduler answered in time; `mayExist` is set if the call may have been acted on.
using LeaderReplyCallback = std::function<void(zone::ZoneReply)>;

/// One peer call to the leader of a zone: finds the leader, follows redirects, and retries lost calls until its limit. Every kind of call may be repeated: a
/// submit names its id, and from the first lost call on states that the job may already exist. Keeps itself alive until it has answered, once.
class LeaderCall : public std::enable_shared_from_this<LeaderCall>
{
public:
    /// What a call needs to reach other VMs; owned by the daemon.
    struct Route {
        link::LinkHub &hub;
        ZoneDirectory &directory;
        base::Mailbox &timers;
    };

    LeaderCall(Route callRoute, zone::ZoneCall zoneCall, std::chrono::milliseconds limit, std::string traceparent, LeaderReplyCallback callDone);

    /// Sends the first attempt. Any thread; `callDone` may run on any thread.
    void start();

private:
    void attempt();
    void attemptAfter(std::chrono::milliseconds delay);
    void handleAnswer(const std::string &askedVm, const link::CallResult &result);
    void followRedirect(const zone::ZoneReply &reply, const std::string &askedVm);
    void giveUp();

    Route route;
    zone::ZoneCall call;
    base::SteadyTime deadline;
    std::string traceContext;
    LeaderReplyCallback done;
    std::size_t attempts = 0;
    bool mayExist = false;
};

} // namespace cranberryreel::routing
