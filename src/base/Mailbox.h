#pragma once

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <thread>

namespace cranberryreel::base
{

/// A thread that runs posted functions in order, and timers. State that only this thread uses needs no lock. Owned by the component whose functions it runs;
/// call stop() before that component's state is destroyed. Any thread may post.
class Mailbox
{
public:
    using Item = std::function<void()>;

    Mailbox() = default;
    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;
    ~Mailbox();

    void start();

    /// Runs the items posted before the call, drops timers and joins the thread. Items posted later are dropped.
    void stop();

    void post(Item item);
    void postAfter(std::chrono::milliseconds delay, Item item);

    /// Returns the number of waiting items, for limits and metrics.
    std::size_t depth() const;

private:
    void run();
    Item next();
    bool hasDue() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::deque<Item> items ABSL_GUARDED_BY(mutex);
    std::multimap<SteadyTime, Item> timers ABSL_GUARDED_BY(mutex);
    bool firstTimerChanged ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace cranberryreel::base
