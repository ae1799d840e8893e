#pragma once

#include "link/LinkHub.h"

#include <array>

namespace cranberryreel::link
{

/// The handlers of a hub by channel. Filled before the hub starts, read-only from then on.
class Receivers
{
public:
    void setMessageHandler(Channel channel, MessageHandler handler);
    void setCallHandler(Channel channel, CallHandler handler);

    /// Null for a channel without a handler and for an unknown channel.
    const MessageHandler *messageHandler(std::uint8_t channel) const;
    const CallHandler *callHandler(std::uint8_t channel) const;

private:
    static constexpr std::size_t Channels = static_cast<std::size_t>(Channel::Last) + 1; ///< 0 is no channel.

    std::array<MessageHandler, Channels> messageHandlers;
    std::array<CallHandler, Channels> callHandlers;
};

} // namespace cranberryreel::link
