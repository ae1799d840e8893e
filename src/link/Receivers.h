#pragma once

#include "link/LinkHub.h"

#include <array>

namespace cranberryreel::link
{

/// The handlers of a hub by channel. Owned by the hub; filled before it starts and read-only from then on.
class Receivers
{
public:
    void setMessageHandler(Channel channel, MessageHandler handler);
    void setCallHandler(Channel channel, CallHandler handler);

    /// Both return null for a channel without a handler and for an unknown channel.
    const MessageHandler *messageHandler(std::uint8_t channel) const;
    const CallHandler *callHandler(std::uint8_t channel) const;

private:
    static constexpr std::size_t Channels = static_cast<std::size_t>(Channel::Last) + 1; ///< Channel numbers start at 1.

    std::array<MessageHandler, Channels> messageHandlers;
    std::array<CallHandler, Channels> callHandlers;
};

} // namespace cranberryreel::link
