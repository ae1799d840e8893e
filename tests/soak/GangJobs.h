#pragma once

#include "soak/GangWork.h"
#include "soak/SoakReport.h"
#include "support/PlatformCell.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::soak
{

/// Clients that submit jobs whose only step is a gang or a single task, and check the states that they are shown. Owned by a soak.
class GangJobs
{
public:
    GangJobs(support::PlatformCell &platformCell, SoakReport &soakReport, GangWork &gangWork, std::uint64_t seed);
    ~GangJobs();
    GangJobs(const GangJobs &) = delete;
    GangJobs &operator=(const GangJobs &) = delete;

    void start();
    void stop();

    /// Submits no further jobs, and checks that all accepted ones end.
    void checkEnds();

    std::size_t endedCount() const;
    std::size_t failedCount() const;

private:
    using Check = void (GangJobs::*)(const std::string &job);

    void run();
    void submit();
    void askForJobs();
    void checkCompleted(const std::string &job);
    void checkFailed(const std::string &job);
    void checkCancelled(const std::string &job);
    const std::string &anyEntryVm();

    support::PlatformCell &cell;
    SoakReport &report;
    GangWork &work;
    std::mt19937_64 random;
    std::atomic<bool> stopped{false};
    std::atomic<bool> submitting{true};
    std::atomic<std::size_t> ended{0};
    std::atomic<std::size_t> failed{0};
    mutable absl::Mutex mutex;
    std::map<std::string, std::string> open ABSL_GUARDED_BY(mutex); ///< Last shown state, by accepted job that has not ended.
    std::thread thread;
};

} // namespace cranberryreel::soak
