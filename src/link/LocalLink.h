#pragma once

#include "link/EventLoop.h"
#include "link/Outbox.h"
#include "link/Receivers.h"

namespace cranberryreel::link
{

/// Delivers a daemon's messages and calls to itself, on the I/O thread like those of other VMs. Owned by the hub; any thread.
class LocalLink
{
public:
    LocalLink(std::string ownVm, EventLoop &eventLoop, const Receivers &hubReceivers, const LinkLimits &linkLimits);

    bool send(Channel channel, std::string payload);
    std::optional<CallDone>
    call(std::uint64_t id, Channel channel, std::string payload, base::SteadyTime deadline, const std::string &traceparent, CallDone done);

    /// Completes a call of this VM to itself.
    void answer(std::uint64_t id, base::ResultCode code, std::string payload);
    Outbox &outbox();
    std::optional<base::SteadyTime> nextDeadline() const;

    /// Creates the responder of a call; set by the hub before it starts.
    using MakeResponder = std::function<Responder(std::uint64_t id)>;
    void setResponders(MakeResponder maker);

private:
    void deliverCall(std::uint64_t id, Channel channel, std::string payload, const std::string &traceparent);

    const std::string vm;
    EventLoop &loop;
    const Receivers &receivers;
    Outbox box;
    MakeResponder makeResponder;
};

} // namespace cranberryreel::link
