#pragma once

#include "scenario/Cluster.h"
#include "scenario/Work.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::scenario
{

/// The callers of a scenario: threads that submit work and record the responses. Owned by the Runner; may be used from any thread.
class Callers
{
public:
    explicit Callers(const Cluster &scenarioCluster);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Submits one new request or job to a VM, without waiting for its answer.
    void submit(const std::string &name, const std::string &vm, const std::string &zone, const WorkOptions &options);

    /// Sends all work of this name again, with unchanged bodies.
    void resend(const std::string &name, const std::string &vm);

    /// Cancels all work of this name once the queued requests have been sent; returns when every cancellation is answered.
    void cancel(const std::string &name, const std::string &vm);

    /// Submits work to the VMs in turn, one request or job every `every`, until endLoad().
    void beginLoad(const std::string &name,
                   std::vector<std::string> vms,
                   std::function<std::string(const std::string &vm)> zoneOf,
                   Milliseconds every,
                   const WorkOptions &options);
    void endLoad(const std::string &name);
    void endAllLoads();

    /// Asks again until all work has an answer; returns false when some has none within the limit.
    bool settle(const std::vector<std::string> &vms, Milliseconds limit);

    std::vector<Work> works() const;
    std::vector<Work> worksNamed(const std::string &name) const;

private:
    struct Load {
        std::atomic<bool> ending{false};
        std::thread thread;
    };

    void enqueue(std::function<void()> task);
    void runThread();
    void awaitIdle(Milliseconds limit);
    void sendOrPoll(std::size_t index, const std::string &vm);
    void pollStatus(std::size_t index, const std::string &vm);
    void recordReply(std::size_t index, const ApiReply &reply);
    Work workAt(std::size_t index) const;
    std::vector<std::size_t> unansweredIndexes() const;

    const Cluster &cluster;
    mutable absl::Mutex mutex;
    std::vector<Work> allWork ABSL_GUARDED_BY(mutex);
    std::map<std::string, unsigned> sequence ABSL_GUARDED_BY(mutex);
    std::deque<std::function<void()>> tasks ABSL_GUARDED_BY(mutex);
    unsigned busy ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::vector<std::thread> threads;
    std::map<std::string, std::unique_ptr<Load>> loads;
};

} // namespace cranberryreel::scenario
