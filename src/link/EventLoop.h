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

/// Is told when a descriptor can be read or written.
class IoHandler
{
public:
    virtual ~IoHandler() = default;
    virtual void ready(std::uint32_t events) = 0;
};

/// An epoll set with a wake-up. Run by one thread, which alone may watch and unwatch; wake() and post() are for any thread. Owned by the hub.
class EventLoop
{
public:
    using Token = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// A handler that is unwatched gets no further event, not even one of the same round.
    Token watch(int descriptor, std::uint32_t events, IoHandler &handler);
    void change(Token token, int descriptor, std::uint32_t events);
    void unwatch(Token token, int descriptor);

    void wake();

    /// False once the loop is closed; the task is dropped then.
    bool post(std::function<void()> task);

    /// Takes no more tasks and runs those that wait, on the caller's thread.
    void close();

    /// Waits for events, at most `limit`, and handles them and the posted tasks.
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
