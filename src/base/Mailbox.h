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

/// One thread that runs what others post to it, in order, and timers. State that only its thread touches needs no lock. Owned by the part whose work it
/// runs; stop() before that state goes.
class Mailbox
{
public:
    using Item = std::function<void()>;

    Mailbox() = default;
    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;
    ~Mailbox();

    void start();

    /// Runs what was posted before the call, drops timers, joins the thread. Items posted later are dropped.
    void stop();

    void post(Item item);
    void postAfter(std::chrono::milliseconds delay, Item item);

    /// Items waiting; for bounds and figures.
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
