#include "link/LocalLink.h"

namespace cranberryreel::link
{

namespace
{

constexpr std::uint64_t LocalGeneration = 1;

} // namespace

LocalLink::LocalLink(std::string ownVm, EventLoop &eventLoop, const Receivers &hubReceivers, const LinkLimits &linkLimits)
    : vm(std::move(ownVm))
    , loop(eventLoop)
    , receivers(hubReceivers)
    , box(linkLimits)
{
    this->box.open(LocalGeneration);
}

bool LocalLink::send(Channel channel, std::string payload)
{
    return this->loop.post([this, channel, payload = std::move(payload)]() mutable {
        if (const MessageHandler *handler = this->receivers.messageHandler(static_cast<std::uint8_t>(channel))) {
            (*handler)(this->vm, std::move(payload));
        }
    });
}

std::optional<CallDone>
LocalLink::call(std::uint64_t id, Channel channel, std::string payload, base::SteadyTime deadline, const std::string &traceparent, CallDone done)
{
    if (std::optional<CallDone> refused = this->box.pushCall(id, {}, deadline, std::move(done))) {
        return refused;
    }
    this->loop.post(
        [this, id, channel, payload = std::move(payload), traceparent]() mutable { this->deliverCall(id, channel, std::move(payload), traceparent); });
    return std::nullopt;
}

void LocalLink::answer(std::uint64_t id, base::ResultCode code, std::string payload)
{
    this->loop.post([this, id, code, payload = std::move(payload)]() mutable {
        if (const std::optional<CallDone> done = this->box.takeAnsweredCall(id)) {
            (*done)({code, true, std::move(payload)});
        }
    });
}

Outbox &LocalLink::outbox()
{
    return this->box;
}

std::optional<base::SteadyTime> LocalLink::nextDeadline() const
{
    return this->box.nextDeadline();
}

void LocalLink::setResponders(MakeResponder maker)
{
    this->makeResponder = std::move(maker);
}

void LocalLink::deliverCall(std::uint64_t id, Channel channel, std::string payload, const std::string &traceparent)
{
    if (!this->box.markSent(id, base::steadyNow())) {
        return;
    }
    if (const CallHandler *handler = this->receivers.callHandler(static_cast<std::uint8_t>(channel))) {
        (*handler)(this->vm, std::move(payload), traceparent, this->makeResponder(id));
    } else {
        this->answer(id, base::ResultCode::Internal, {});
    }
}

} // namespace cranberryreel::link
