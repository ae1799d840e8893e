#pragma once

#include "support/TemporaryFolder.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace cranberryreel::soak
{

/// Writes to the disk that the cell's VMs share, so that a stall of the machine is told from one of the cell. Any thread.
class DiskProbe
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    DiskProbe();
    ~DiskProbe();
    DiskProbe(const DiskProbe &) = delete;
    DiskProbe &operator=(const DiskProbe &) = delete;

    /// End of the last stall; the current time while the disk stalls.
    SteadyTime lastStall() const;

private:
    void run();

    support::TemporaryFolder folder;
    std::atomic<bool> stopped{false};
    mutable absl::Mutex mutex;
    SteadyTime lastWrite ABSL_GUARDED_BY(mutex) = std::chrono::steady_clock::now();
    SteadyTime stallEnd ABSL_GUARDED_BY(mutex);
    std::thread thread;
};

} // namespace cranberryreel::soak
