#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace cranberryreel::link
{

/// Handles the epoll events of one file descriptor, on the loop's thread.
class IoHandler
{
public:
    virtual ~IoHandler() = default;
    virtual void ready(std::uint32_t events) = 0;
};

/// An epoll event loop with posted tasks. One thread runs it and alone may call watch(), change() and unwatch(); wake() and post() may be called from any
/// thread. Owned by the hub.
class EventLoop
{
public:
    using Token = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Registers a handler. After unwatch() it gets no further events, not even pending ones of the same round.
    Token watch(int descriptor, std::uint32_t events, IoHandler &handler);
    void change(Token token, int descriptor, std::uint32_t events);
    void unwatch(Token token, int descriptor);

    void wake();

    /// Queues a task for the loop's thread. Returns false and drops the task once the loop is closed.
    bool post(std::function<void()> task);

    /// Stops accepting tasks and runs the queued ones on the caller's thread.
    void close();

    /// Waits for events for at most `limit`, then handles the events and the posted tasks.
    void runOnce(std::chrono::milliseconds limit);

private:
    void drainWakeUp();
    std::vector<std::function<void()>> takeTasks();

    int epollDescriptor;
    int wakeDescriptor;
    Token nextToken = 1;
    absl::flat_hash_map<Token, IoHandler *> handlers;
    std::atomic<bool> wakePending{false};
    absl::Mutex mutex;
    bool closed ABSL_GUARDED_BY(mutex) = false;
    std::vector<std::function<void()>> tasks ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::link
