#include "link/EventLoop.h"

#include "cranberryreel/base/Error.h"

#include <array>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace cranberryreel::link
{

namespace
{

constexpr EventLoop::Token WakeToken = 0;
constexpr int EventsPerRound = 64;

void control(int epollDescriptor, int operation, int descriptor, EventLoop::Token token, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    epoll_ctl(epollDescriptor, operation, descriptor, &event);
}

void runAll(const std::vector<std::function<void()>> &tasks)
{
    for (const std::function<void()> &task : tasks) {
        task();
    }
}

} // namespace

EventLoop::EventLoop()
    : epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
    , wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->epollDescriptor < 0 || this->wakeDescriptor < 0) {
        throw base::Error(base::ResultCode::Internal, "Cannot create the event loop of the links: no file descriptor is available.");
    }
    control(this->epollDescriptor, EPOLL_CTL_ADD, this->wakeDescriptor, WakeToken, EPOLLIN);
}

EventLoop::~EventLoop()
{
    ::close(this->wakeDescriptor);
    ::close(this->epollDescriptor);
}

EventLoop::Token EventLoop::watch(int descriptor, std::uint32_t events, IoHandler &handler)
{
    const Token token = this->nextToken++;
    this->handlers.emplace(token, &handler);
    control(this->epollDescriptor, EPOLL_CTL_ADD, descriptor, token, events);
    return token;
}

void EventLoop::change(Token token, int descriptor, std::uint32_t events)
{
    control(this->epollDescriptor, EPOLL_CTL_MOD, descriptor, token, events);
}

void EventLoop::unwatch(Token token, int descriptor)
{
    control(this->epollDescriptor, EPOLL_CTL_DEL, descriptor, token, 0);
    this->handlers.erase(token);
}

void EventLoop::wake()
{
    if (this->wakePending.exchange(true)) {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(this->wakeDescriptor, &one, sizeof(one));
}

bool EventLoop::post(std::function<void()> task)
{
    {
        absl::MutexLock lock(&this->mutex);
        if (this->closed) {
            return false;
        }
        this->tasks.push_back(std::move(task));
    }
    this->wake();
    return true;
}

void EventLoop::close()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->closed = true;
    }
    runAll(this->takeTasks());
}

void EventLoop::runOnce(std::chrono::milliseconds limit)
{
    std::array<epoll_event, EventsPerRound> events{};
    const int count = epoll_wait(this->epollDescriptor, events.data(), EventsPerRound, static_cast<int>(limit.count()));
    for (int i = 0; i < count; ++i) {
        const Token token = events.at(i).data.u64;
        if (token == WakeToken) {
            this->drainWakeUp();
        } else if (const auto found = this->handlers.find(token); found != this->handlers.end()) {
            found->second->ready(events.at(i).events);
        }
    }
    runAll(this->takeTasks());
}

void EventLoop::drainWakeUp()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t got = read(this->wakeDescriptor, &count, sizeof(count));
    this->wakePending.store(false);
}

std::vector<std::function<void()>> EventLoop::takeTasks()
{
    absl::MutexLock lock(&this->mutex);
    return std::exchange(this->tasks, {});
}

} // namespace cranberryreel::link
