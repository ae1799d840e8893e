#include "config/ChangeRouter.h"

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

constexpr const char *NotMadeReason = "no leader of the configuration group is reachable; the change was not made, try again";
constexpr const char *MayBeMadeReason = "the configuration group did not answer; the change may still be made, send it again with the same id";

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
    auto pending = std::make_shared<PendingChange>();
    pending->change = change;
    pending->done = std::move(done);
    pending->next = this->lastLeader;
    pending->deadline = base::steadyNow() + this->options.timings.changeLimit;
    this->sendToNextMember(pending);
}

void ChangeRouter::sendToNextMember(const std::shared_ptr<PendingChange> &pending)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(pending->deadline - base::steadyNow());
    if (left <= std::chrono::milliseconds(0)) {
        pending->done({base::ResultCode::ConfigurationUnavailable, pending->mayBeCommitted ? MayBeMadeReason : NotMadeReason, 0, {}});
        return;
    }
    const std::string member = this->nextMember(*pending);
    if (member.empty()) {
        this->retry(pending);
        return;
    }
    this->peers.change(member, pending->change, std::min(left, this->options.timings.callLimit), [this, pending, member](const MemberReply &reply) {
        this->onReply(pending, member, reply);
    });
}

void ChangeRouter::onReply(const std::shared_ptr<PendingChange> &pending, const std::string &member, const MemberReply &reply)
{
    // That no disk can sync this try says nothing about an earlier one.
    const bool isUnknown = reply.reply.code == base::ResultCode::NoDurableStore && pending->mayBeCommitted;
    const bool isFinal = isFinalAnswer(reply.reply.code) && !isUnknown;
    this->lastLeader = isFinal ? member : reply.leader;
    if (isFinal) {
        pending->done(reply.reply);
        return;
    }
    pending->mayBeCommitted = pending->mayBeCommitted || (reply.reply.code != base::ResultCode::NotLeader && reply.sent);
    pending->next = reply.leader;
    this->retry(pending);
}

void ChangeRouter::retry(const std::shared_ptr<PendingChange> &pending)
{
    const bool leaderKnown = !pending->next.empty() && this->peers.isUp(pending->next);
    const auto delay = leaderKnown ? std::chrono::milliseconds(0) : this->options.timings.retryDelay;
    this->worker->postAfter(delay, [this, pending] { this->sendToNextMember(pending); });
}

std::string ChangeRouter::nextMember(PendingChange &pending) const
{
    if (std::string hinted = std::exchange(pending.next, ""); !hinted.empty() && this->peers.isUp(hinted)) {
        return hinted;
    }
    const std::vector<std::string> &members = this->options.groupMembers;
    for (std::size_t tried = 0; tried < members.size(); tried++) {
        const std::string &member = members[pending.nextIndex++ % members.size()];
        if (this->peers.isUp(member)) {
            return member;
        }
    }
    return {};
}

} // namespace cranberryreel::config
