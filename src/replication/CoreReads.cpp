#include "replication/Core.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

void Core::read(std::uint64_t id, base::SteadyTime now)
{
    this->pendingReads.push_back(PendingRead{id, now, now - this->options.timings.heartbeat});
    this->tickReads(now);
}

void Core::tickReads(base::SteadyTime now)
{
    this->answerReads(now);
    auto &reads = this->pendingReads;
    const auto late = std::stable_partition(
        reads.begin(), reads.end(), [this, now](const PendingRead &read) { return now < read.since + this->options.timings.requestLimit; });
    for (auto read = late; read != reads.end(); ++read) {
        this->output.reads.push_back(ReadOutcome{read->id, base::ResultCode::GroupUnavailable, 0});
    }
    reads.erase(late, reads.end());
    if (this->leader.empty() || this->leader == this->options.ownVm) {
        return;
    }
    for (PendingRead &read : reads) {
        if (now >= read.lastSentAt + this->options.timings.heartbeat) {
            read.lastSentAt = now;
            Message message = this->messageTo(this->leader, MessageKind::Read);
            message.sequence = static_cast<std::int64_t>(read.id);
            this->send(std::move(message));
        }
    }
}

void Core::answerReads(base::SteadyTime now)
{
    if (this->pendingReads.empty() || !this->holdsLease(now) || this->commit < this->termStartIndex) {
        return;
    }
    for (const PendingRead &read : std::exchange(this->pendingReads, {})) {
        this->output.reads.push_back(ReadOutcome{read.id, base::ResultCode::Ok, this->commit});
    }
}

void Core::handleRead(const Message &message, base::SteadyTime now)
{
    if (!this->holdsLease(now) || this->commit < this->termStartIndex) {
        return; // The reader repeats its request until its time limit.
    }
    Message reply = this->messageTo(message.from, MessageKind::ReadReply);
    reply.sequence = message.sequence;
    reply.index = this->commit;
    reply.boots = {MemberBoot{message.from, message.boot}};
    this->send(std::move(reply));
}

void Core::handleReadReply(const Message &message)
{
    const MemberBoot own{this->options.ownVm, this->options.boot};
    if (message.boots.size() != 1 || !(message.boots.front() == own)) {
        return;
    }
    auto &reads = this->pendingReads;
    const auto found =
        std::find_if(reads.begin(), reads.end(), [&message](const PendingRead &read) { return static_cast<std::int64_t>(read.id) == message.sequence; });
    if (found != reads.end()) {
        this->output.reads.push_back(ReadOutcome{found->id, base::ResultCode::Ok, message.index});
        reads.erase(found);
    }
}

} // namespace cranberryreel::replication
