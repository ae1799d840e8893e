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

/// Polls the configuration revision of every VM in a thread of its own, and records each decrease. Owned by the Runner.
class RevisionWatch
{
public:
    RevisionWatch(const Cluster &scenarioCluster, std::vector<std::string> watchedVms);
    ~RevisionWatch();
    RevisionWatch(const RevisionWatch &) = delete;
    RevisionWatch &operator=(const RevisionWatch &) = delete;

    /// One sentence for each time a VM served a lower revision than before.
    std::vector<std::string> revisionDecreases() const;

private:
    void run();
    void pollVm(const std::string &vm);

    const Cluster &cluster;
    const std::vector<std::string> vms;
    mutable absl::Mutex mutex;
    std::map<std::string, std::uint64_t> highest ABSL_GUARDED_BY(mutex);
    std::vector<std::string> violations ABSL_GUARDED_BY(mutex);
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace cranberryreel::scenario
