#include "config/ChangeRouter.h"

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

constexpr const char *NotKept = "the configuration group has no leader in reach; the change was not made, try again";
constexpr const char *MayBeKept = "the configuration group did not answer; the change may still be made, send it again with the same id";

bool isFinalAnswer(base::ResultCode code)
{
    return code != base::ResultCode::NotLeader && code != base::ResultCode::LinkDown && code != base::ResultCode::GroupUnavailable;
}

} // namespace

ChangeRouter::ChangeRouter(const ConfigServiceOptions &serviceOptions, ConfigPeers &configPeers, std::shared_ptr<base::Mailbox> mailbox)
    : options(serviceOptions)
    , peers(configPeers)
    , worker(std::move(mailbox))
{
}

void ChangeRouter::route(const Change &change, ChangeDone done)
{
    auto journey = std::make_shared<Journey>();
    journey->change = change;
    journey->done = std::move(done);
    journey->next = this->lastLeader;
    journey->deadline = base::steadyNow() + this->options.timings.changeLimit;
    this->tryNext(journey);
}

void ChangeRouter::tryNext(const std::shared_ptr<Journey> &journey)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(journey->deadline - base::steadyNow());
    if (left <= std::chrono::milliseconds(0)) {
        journey->done({base::ResultCode::ConfigurationUnavailable, journey->mayBeKept ? MayBeKept : NotKept, 0, {}});
        return;
    }
    const std::string member = this->nextMember(*journey);
    if (member.empty()) {
        this->retry(journey);
        return;
    }
    this->peers.change(member, journey->change, std::min(left, this->options.timings.callLimit), [this, journey, member](const MemberReply &reply) {
        this->answered(journey, member, reply);
    });
}

void ChangeRouter::answered(const std::shared_ptr<Journey> &journey, const std::string &member, const MemberReply &reply)
{
    const bool isFinal = isFinalAnswer(reply.reply.code);
    this->lastLeader = isFinal ? member : reply.leader;
    if (isFinal) {
        journey->done(reply.reply);
        return;
    }
    journey->mayBeKept = journey->mayBeKept || (reply.reply.code != base::ResultCode::NotLeader && reply.sent);
    journey->next = reply.leader;
    this->retry(journey);
}

void ChangeRouter::retry(const std::shared_ptr<Journey> &journey)
{
    const bool leaderKnown = !journey->next.empty() && this->peers.isUp(journey->next);
    const auto delay = leaderKnown ? std::chrono::milliseconds(0) : this->options.timings.retryDelay;
    this->worker->postAfter(delay, [this, journey] { this->tryNext(journey); });
}

std::string ChangeRouter::nextMember(Journey &journey) const
{
    if (std::string hinted = std::exchange(journey.next, ""); !hinted.empty() && this->peers.isUp(hinted)) {
        return hinted;
    }
    const std::vector<std::string> &members = this->options.groupMembers;
    for (std::size_t tried = 0; tried < members.size(); tried++) {
        const std::string &member = members[journey.turn++ % members.size()];
        if (this->peers.isUp(member)) {
            return member;
        }
    }
    return {};
}

} // namespace cranberryreel::config
