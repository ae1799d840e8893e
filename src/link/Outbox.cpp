#include "link/Outbox.h"

#include <algorithm>

namespace cranberryreel::link
{

namespace
{

CallResult linkDownResult(bool sent)
{
    return {base::ResultCode::LinkDown, sent, {}};
}

} // namespace

void endCalls(std::vector<EndedCall> calls)
{
    for (EndedCall &call : calls) {
        call.done(std::move(call.result));
    }
}

Outbox::Outbox(const LinkLimits &linkLimits)
    : limits(linkLimits)
{
}

void Outbox::open(std::uint64_t connectionGeneration)
{
    absl::MutexLock lock(&this->mutex);
    this->generation = connectionGeneration;
    this->opened = true;
}

std::vector<EndedCall> Outbox::close()
{
    absl::MutexLock lock(&this->mutex);
    this->opened = false;
    this->waiting.clear();
    this->waitingBytes = 0;
    std::vector<EndedCall> ended;
    ended.reserve(this->calls.size());
    for (auto &[id, call] : this->calls) {
        ended.push_back({std::move(call.done), linkDownResult(call.sent)});
    }
    this->calls.clear();
    this->deadlines.clear();
    return ended;
}

bool Outbox::isOpen() const
{
    absl::MutexLock lock(&this->mutex);
    return this->opened;
}

bool Outbox::push(std::string frame)
{
    absl::MutexLock lock(&this->mutex);
    if (!this->hasCapacity(frame.size())) {
        return false;
    }
    this->enqueue(std::move(frame), 0);
    return true;
}

bool Outbox::pushForConnection(std::uint64_t connectionGeneration, std::string frame)
{
    absl::MutexLock lock(&this->mutex);
    if (connectionGeneration != this->generation || !this->hasCapacity(frame.size())) {
        return false;
    }
    this->enqueue(std::move(frame), 0);
    return true;
}

std::optional<CallDone> Outbox::pushCall(std::uint64_t id, std::string frame, base::SteadyTime deadline, CallDone done)
{
    absl::MutexLock lock(&this->mutex);
    if (!this->hasCapacity(frame.size()) || this->calls.size() >= this->limits.pendingCalls) {
        return done;
    }
    this->enqueue(std::move(frame), id);
    this->calls.emplace(id, PendingCall{std::move(done), deadline, false});
    this->deadlines.emplace(deadline, id);
    return std::nullopt;
}

void Outbox::takeFrames(std::size_t bytes, std::string &output, base::SteadyTime now)
{
    absl::MutexLock lock(&this->mutex);
    for (std::size_t taken = 0; taken < bytes && !this->waiting.empty();) {
        WaitingFrame &frame = this->waiting.front();
        this->waitingBytes -= frame.bytes.size();
        const auto call = this->calls.find(frame.callId);
        if (call == this->calls.end() || call->second.deadline > now) {
            taken += frame.bytes.size();
            output.append(frame.bytes);
            if (call != this->calls.end()) {
                call->second.sent = true;
            }
        }
        this->waiting.pop_front();
    }
}

bool Outbox::markSent(std::uint64_t id, base::SteadyTime now)
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || found->second.deadline <= now) {
        return false;
    }
    found->second.sent = true;
    this->dropWaitingFrame(id);
    return true;
}

std::optional<CallDone> Outbox::takeAnsweredCall(std::uint64_t id)
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return std::nullopt;
    }
    CallDone done = std::move(found->second.done);
    this->deadlines.erase({found->second.deadline, id});
    this->calls.erase(found);
    return done;
}

std::vector<EndedCall> Outbox::expire(base::SteadyTime now)
{
    absl::MutexLock lock(&this->mutex);
    std::vector<EndedCall> ended;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const std::uint64_t id = this->deadlines.begin()->second;
        const auto found = this->calls.find(id);
        if (!found->second.sent) {
            this->dropWaitingFrame(id);
        }
        ended.push_back({std::move(found->second.done), linkDownResult(found->second.sent)});
        this->calls.erase(found);
        this->deadlines.erase(this->deadlines.begin());
    }
    return ended;
}

std::optional<base::SteadyTime> Outbox::nextDeadline() const
{
    absl::MutexLock lock(&this->mutex);
    if (this->deadlines.empty()) {
        return std::nullopt;
    }
    return this->deadlines.begin()->first;
}

bool Outbox::hasCapacity(std::size_t bytes) const
{
    return this->opened && this->waitingBytes + bytes <= this->limits.queueBytes;
}

void Outbox::enqueue(std::string frame, std::uint64_t callId)
{
    this->waitingBytes += frame.size();
    this->waiting.push_back({std::move(frame), callId});
}

void Outbox::dropWaitingFrame(std::uint64_t callId)
{
    const auto isCall = [callId](const WaitingFrame &frame) { return frame.callId == callId; };
    const auto found = std::find_if(this->waiting.begin(), this->waiting.end(), isCall);
    if (found != this->waiting.end()) {
        this->waitingBytes -= found->bytes.size();
        this->waiting.erase(found);
    }
}

} // namespace cranberryreel::link
