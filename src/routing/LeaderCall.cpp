#include "routing/LeaderCall.h"

#include "zone/CallCodec.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cranberryreel::routing
{

namespace
{

constexpr std::chrono::milliseconds RetryAfter{50};
constexpr std::chrono::milliseconds ReplySlack{400}; // The scheduler answers by the deadline it was given; the answer then travels.

} // namespace

LeaderCall::LeaderCall(Route callRoute, zone::ZoneCall zoneCall, std::chrono::milliseconds limit, std::string traceparent, CallOutcome callDone)
    : route(callRoute)
    , call(std::move(zoneCall))
    , until(base::steadyNow() + limit)
    , parent(std::move(traceparent))
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
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(this->until - now);
    const std::optional<std::string> vm = this->route.directory.candidate(this->call.zone, this->attempts, now);
    if (left.count() <= 0 || !vm) {
        this->giveUp();
        return;
    }
    this->attempts += 1;
    if (auto *submit = std::get_if<zone::SubmitCall>(&this->call.body)) {
        submit->mayExist = submit->mayExist || this->mayExist;
        submit->spec.deadline = submit->spec.deadline.count() > 0 ? std::min(submit->spec.deadline, left) : submit->spec.deadline;
    }
    this->route.hub.call(*vm,
                         link::Channel::Zone,
                         zone::encodeCall(this->call),
                         left + ReplySlack,
                         this->parent,
                         [self = this->shared_from_this(), vm = *vm](const link::CallResult &result) { self->answered(vm, result); });
}

void LeaderCall::attemptAfter(std::chrono::milliseconds delay)
{
    this->route.timers.postAfter(delay, [self = this->shared_from_this()] { self->attempt(); });
}

void LeaderCall::answered(const std::string &askedVm, const link::CallResult &result)
{
    if (result.code != base::ResultCode::Ok) {
        this->route.directory.doubted(this->call.zone, askedVm);
        this->mayExist = this->mayExist || result.sent;
        this->attemptAfter(RetryAfter);
        return;
    }
    const std::optional<zone::ZoneReply> reply = zone::decodeReply(result.payload);
    if (!reply) {
        this->mayExist = true;
        this->attemptAfter(RetryAfter);
        return;
    }
    if (reply->code == base::ResultCode::NotLeader) {
        this->follow(*reply, askedVm);
        return;
    }
    this->done(*reply);
}

void LeaderCall::follow(const zone::ZoneReply &reply, const std::string &askedVm)
{
    this->mayExist = this->mayExist || reply.mayExist;
    if (reply.leader.empty() || reply.leader == askedVm) {
        this->route.directory.doubted(this->call.zone, askedVm);
        this->attemptAfter(RetryAfter);
        return;
    }
    this->route.directory.corrected(this->call.zone, reply.leader);
    // The first correction is followed at once; a leader that is not one yet is not hammered.
    this->attemptAfter(this->attempts <= 1 ? std::chrono::milliseconds(0) : RetryAfter);
}

void LeaderCall::giveUp()
{
    zone::ZoneReply reply;
    reply.code = base::ResultCode::NoLeader;
    reply.reason = "the scheduler of zone " + this->call.zone + " did not answer in time";
    reply.mayExist = this->mayExist;
    this->done(reply);
}

} // namespace cranberryreel::routing
