#include "routing/LeaderCall.h"

#include "zone/CallCodec.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cranberryreel::routing
{

namespace
{

constexpr std::chrono::milliseconds RetryDelay{50};
constexpr std::chrono::milliseconds ReplySlack{400}; // Time for the answer to arrive; the scheduler answers by the given deadline.

} // namespace

LeaderCall::LeaderCall(Route callRoute, zone::ZoneCall zoneCall, std::chrono::milliseconds limit, std::string traceparent, LeaderReplyCallback callDone)
    : route(callRoute)
    , call(std::move(zoneCall))
    , deadline(base::steadyNow() + limit)
    , traceContext(std::move(traceparent))
    , done(std::move(callDone))
{
}

void LeaderCall::start()
{
    this->attempt();
}

void LeaderCall::attempt()
{
    const base::SteadyTime now = base::steadyNow();
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(this->deadline - now);
    const std::optional<std::string> vm = this->route.directory.leaderCandidate(this->call.zone, this->attempts, now);
    if (remaining.count() <= 0 || !vm) {
        this->giveUp();
        return;
    }
    this->attempts += 1;
    if (auto *submit = std::get_if<zone::SubmitCall>(&this->call.body)) {
        submit->mayExist = submit->mayExist || this->mayExist;
        submit->spec.deadline = submit->spec.deadline.count() > 0 ? std::min(submit->spec.deadline, remaining) : submit->spec.deadline;
    }
    this->route.hub.call(*vm,
                         link::Channel::Zone,
                         zone::encodeCall(this->call),
                         remaining + ReplySlack,
                         this->traceContext,
                         [self = this->shared_from_this(), vm = *vm](const link::CallResult &result) { self->handleAnswer(vm, result); });
}

void LeaderCall::attemptAfter(std::chrono::milliseconds delay)
{
    this->route.timers.postAfter(delay, [self = this->shared_from_this()] { self->attempt(); });
}

void LeaderCall::handleAnswer(const std::string &askedVm, const link::CallResult &result)
{
    if (result.code != base::ResultCode::Ok) {
        this->route.directory.clearLeader(this->call.zone, askedVm);
        this->mayExist = this->mayExist || result.sent;
        this->attemptAfter(RetryDelay);
        return;
    }
    const std::optional<zone::ZoneReply> reply = zone::decodeReply(result.payload);
    if (!reply) {
        this->mayExist = true;
        this->attemptAfter(RetryDelay);
        return;
    }
    if (reply->code == base::ResultCode::NotLeader) {
        this->followRedirect(*reply, askedVm);
        return;
    }
    this->done(*reply);
}

void LeaderCall::followRedirect(const zone::ZoneReply &reply, const std::string &askedVm)
{
    this->mayExist = this->mayExist || reply.mayExist;
    if (reply.leader.empty() || reply.leader == askedVm) {
        this->route.directory.clearLeader(this->call.zone, askedVm);
        this->attemptAfter(RetryDelay);
        return;
    }
    this->route.directory.setLeader(this->call.zone, reply.leader);
    // Follows the first redirect at once. Later ones wait, since the named VM may not have acquired leadership yet.
    this->attemptAfter(this->attempts <= 1 ? std::chrono::milliseconds(0) : RetryDelay);
}

void LeaderCall::giveUp()
{
    zone::ZoneReply reply;
    reply.code = base::ResultCode::NoLeader;
    reply.reason = "no scheduler of zone " + this->call.zone + " answered in time";
    reply.mayExist = this->mayExist;
    this->done(reply);
}

} // namespace cranberryreel::routing
