#pragma once

#include "link/EventLoop.h"
#include "link/Socket.h"

#include "cranberryreel/base/Clock.h"

#include <functional>

namespace cranberryreel::link
{

/// Accepts TCP connections. Pauses while the process is out of descriptors, to avoid a busy loop. Owned by the hub; I/O thread only.
class Listener : public IoHandler
{
public:
    using Accepted = std::function<void(Socket)>;

    Listener(EventLoop &eventLoop, const Endpoint &endpoint, Accepted onAccepted);
    ~Listener() override;
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void tick(base::SteadyTime now);
    base::SteadyTime nextTick() const;
    void ready(std::uint32_t events) override;

private:
    EventLoop &loop;
    Socket socket;
    Accepted accepted;
    EventLoop::Token token;
    base::SteadyTime resumeAt = base::SteadyTime::max();
};

} // namespace cranberryreel::link
