#include "link/Receivers.h"

namespace cranberryreel::link
{

namespace
{

template<typename Handlers>
auto find(const Handlers &handlers, std::uint8_t channel) -> decltype(&handlers[0])
{
    if (channel >= handlers.size() || !handlers.at(channel)) {
        return nullptr;
    }
    return &handlers.at(channel);
}

} // namespace

void Receivers::setMessageHandler(Channel channel, MessageHandler handler)
{
    this->messageHandlers.at(static_cast<std::size_t>(channel)) = std::move(handler);
}

void Receivers::setCallHandler(Channel channel, CallHandler handler)
{
    this->callHandlers.at(static_cast<std::size_t>(channel)) = std::move(handler);
}

const MessageHandler *Receivers::messageHandler(std::uint8_t channel) const
{
    return find(this->messageHandlers, channel);
}

const CallHandler *Receivers::callHandler(std::uint8_t channel) const
{
    return find(this->callHandlers, channel);
}

} // namespace cranberryreel::link
