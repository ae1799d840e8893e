#include "link/Listener.h"

#include "link/LinkLog.h"

#include <cerrno>

#include <sys/epoll.h>

namespace cranberryreel::link
{

namespace
{

constexpr int AcceptsPerRound = 16;
constexpr std::chrono::milliseconds DescriptorPause{100};

bool outOfDescriptors(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace

Listener::Listener(EventLoop &eventLoop, const Endpoint &endpoint, Accepted onAccepted)
    : loop(eventLoop)
    , socket(Socket::listen(endpoint))
    , accepted(std::move(onAccepted))
    , token(eventLoop.watch(this->socket.descriptor(), EPOLLIN, *this))
{
}

Listener::~Listener()
{
    this->loop.unwatch(this->token, this->socket.descriptor());
}

void Listener::tick(base::SteadyTime now)
{
    if (now >= this->resumeAt) {
        this->resumeAt = base::SteadyTime::max();
        this->loop.change(this->token, this->socket.descriptor(), EPOLLIN);
    }
}

base::SteadyTime Listener::nextTick() const
{
    return this->resumeAt;
}

void Listener::ready(std::uint32_t /*events*/)
{
    for (int i = 0; i < AcceptsPerRound; ++i) {
        Socket next = this->socket.accept();
        if (next.valid()) {
            this->accepted(std::move(next));
        } else if (outOfDescriptors(errno)) {
            linkLog().error("Cannot accept a connection: out of file descriptors or memory.");
            this->resumeAt = base::steadyNow() + DescriptorPause;
            this->loop.change(this->token, this->socket.descriptor(), 0);
            return;
        } else {
            return;
        }
    }
}

} // namespace cranberryreel::link
