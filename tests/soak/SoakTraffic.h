#pragma once

#include "soak/SoakReport.h"
#include "support/PlatformCell.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::soak
{

/// What was served up to now.
struct ServedCounts {
    int acknowledged = 0; ///< The newest acknowledged configuration.
    int readBack = 0; ///< Reads of the configuration that returned one.
    std::size_t acceptedJobs = 0;
};

/// An operator and clients that use a cell during faults, and check what they are told. Owned by a soak.
class SoakTraffic
{
public:
    SoakTraffic(support::PlatformCell &platformCell, SoakReport &soakReport, std::uint64_t randomSeed);
    ~SoakTraffic();
    SoakTraffic(const SoakTraffic &) = delete;
    SoakTraffic &operator=(const SoakTraffic &) = delete;

    void start();
    void stop();

    /// Sets the VMs that receive the operator's calls.
    void setControlVms(std::vector<std::string> vms);

    ServedCounts counts() const;

    /// Checks that the cell still knows each accepted job.
    void checkJobs();

private:
    struct AcceptedJob {
        std::string id;
        std::chrono::steady_clock::time_point time;
    };
    using Random = std::mt19937_64;
    using Loop = void (SoakTraffic::*)(Random &);

    void run(Loop loop, std::uint64_t threadSeed, std::chrono::milliseconds pause);
    void writeConfiguration(Random &random);
    void readConfiguration(Random &random);
    void submitJob(Random &random);
    void askForJob(Random &random);
    std::string anyControlVm(Random &random) const;
    std::string anyEntryVm(Random &random) const;

    support::PlatformCell &cell;
    SoakReport &report;
    const std::uint64_t seed;
    std::atomic<bool> stopped{false};
    std::atomic<int> sent{0};
    mutable absl::Mutex mutex;
    ServedCounts served ABSL_GUARDED_BY(mutex);
    std::vector<std::string> controlVms ABSL_GUARDED_BY(mutex);
    std::vector<AcceptedJob> jobs ABSL_GUARDED_BY(mutex);
    std::vector<std::thread> threads;
};

} // namespace cranberryreel::soak
