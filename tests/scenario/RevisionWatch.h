#pragma once

#include "scenario/Cluster.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::scenario
{

/// Asks every VM for its revision over and over, and notes each that went back. Owned by the runner.
class RevisionWatch
{
public:
    RevisionWatch(const Cluster &scenarioCluster, std::vector<std::string> watchedVms);
    ~RevisionWatch();
    RevisionWatch(const RevisionWatch &) = delete;
    RevisionWatch &operator=(const RevisionWatch &) = delete;

    /// One sentence for each VM that served a lower revision than it had served before.
    std::vector<std::string> reverted() const;

private:
    void run();
    void ask(const std::string &vm);

    const Cluster &cluster;
    const std::vector<std::string> vms;
    mutable absl::Mutex mutex;
    std::map<std::string, std::uint64_t> highest ABSL_GUARDED_BY(mutex);
    std::vector<std::string> violations ABSL_GUARDED_BY(mutex);
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace cranberryreel::scenario
