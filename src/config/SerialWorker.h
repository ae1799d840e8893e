#pragma once

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <map>
#include <thread>

namespace cranberryreel::config
{

/// One thread that runs tasks one after another, each at its time. State that only its tasks touch needs no lock. Shared by its owner and by callbacks
/// that may outlive the owner: after stop() tasks are dropped unseen.
class SerialWorker
{
public:
    using Task = std::function<void()>;

    SerialWorker();
    ~SerialWorker();
    SerialWorker(const SerialWorker &) = delete;
    SerialWorker &operator=(const SerialWorker &) = delete;

    /// Any thread. Tasks of the same time run in the order of their posting.
    void post(Task task);
    void postAfter(std::chrono::milliseconds delay, Task task);

    /// Lets the running task finish, drops the rest, joins the thread. Not from a task.
    void stop();

private:
    void run();
    bool hasDueTask() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

    absl::Mutex mutex;
    std::multimap<base::SteadyTime, Task> tasks ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace cranberryreel::config
