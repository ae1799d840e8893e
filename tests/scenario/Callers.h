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

/// The callers of a scenario: many threads that submit work and keep what they were told. Owned by the runner; any thread.
class Callers
{
public:
    explicit Callers(const Cluster &scenarioCluster);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Submits one new piece of work to a VM, without waiting for its answer.
    void submit(const std::string &name, const std::string &vm, const std::string &zone, const WorkOptions &options);

    /// Sends every piece of work of a name again, word for word.
    void resend(const std::string &name, const std::string &vm);

    /// Waits until what is under way has been sent, and returns once every cancellation is answered.
    void cancel(const std::string &name, const std::string &vm);

    void beginLoad(const std::string &name,
                   std::vector<std::string> vms,
                   std::function<std::string(const std::string &vm)> zoneOf,
                   Milliseconds every,
                   const WorkOptions &options);
    void endLoad(const std::string &name);
    void endAllLoads();

    /// Asks again until every piece of work has an answer; false when some has none within the limit.
    bool settle(const std::vector<std::string> &vms, Milliseconds limit);

    std::vector<Work> works() const;
    std::vector<Work> worksNamed(const std::string &name) const;

private:
    struct Load {
        std::atomic<bool> ending{false};
        std::thread thread;
    };

    void enqueue(std::function<void()> task);
    void serve();
    void awaitIdle(Milliseconds limit);
    void attempt(std::size_t index, const std::string &vm);
    void follow(std::size_t index, const std::string &vm);
    void keep(std::size_t index, const ApiReply &reply);
    Work at(std::size_t index) const;
    std::vector<std::size_t> unsettled() const;

    const Cluster &cluster;
    mutable absl::Mutex mutex;
    std::vector<Work> all ABSL_GUARDED_BY(mutex);
    std::map<std::string, unsigned> sequence ABSL_GUARDED_BY(mutex);
    std::deque<std::function<void()>> tasks ABSL_GUARDED_BY(mutex);
    unsigned busy ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::vector<std::thread> threads;
    std::map<std::string, std::unique_ptr<Load>> loads;
};

} // namespace cranberryreel::scenario
