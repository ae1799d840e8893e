#pragma once

#include "soak/GangWork.h"
#include "soak/LastingRuns.h"
#include "soak/SoakReport.h"
#include "soak/SoakStep.h"
#include "soak/SoakUpstream.h"
#include "soak/TaskRuns.h"
#include "support/PlatformCell.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// The upstreams of a cell's service, their runs, and the jobs with tasks that last. Owned by a soak and used by its thread.
class SoakUpstreams
{
public:
    SoakUpstreams(support::PlatformCell &platformCell, SoakReport &soakReport, std::uint64_t randomSeed);
    ~SoakUpstreams();
    SoakUpstreams(const SoakUpstreams &) = delete;
    SoakUpstreams &operator=(const SoakUpstreams &) = delete;

    /// Starts the upstreams and submits the jobs.
    void start(int count);
    void stop();

    /// Sets the VMs that receive announcements.
    void setControlVms(std::vector<std::string> vms);

    const LastingRuns &lastingRuns() const;
    GangWork &gangWork();

    void addUpstream();

    /// Whether the action is a fault of an upstream.
    static bool handles(Action action);

    /// The upstream that the step is for.
    std::string target(const SoakStep &step) const;
    void apply(Action action, const std::string &id);

    /// When the last cut of an upstream began.
    std::chrono::steady_clock::time_point lastCut() const;

    /// Whether starts and renewals may be carried out late.
    void setDelays(bool enabled);

private:
    std::string nextToEnd() const;
    bool announce(const std::string &id, const std::string &body);
    std::vector<std::unique_ptr<SoakUpstream>>::iterator find(const std::string &id);

    support::PlatformCell &cell;
    SoakReport &report;
    const std::uint64_t seed;
    LastingRuns lasting;
    TaskRuns runs;
    GangWork work;
    mutable absl::Mutex mutex;
    std::vector<std::string> controlVms ABSL_GUARDED_BY(mutex);
    std::size_t announcements ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t added = 0;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams;
};

} // namespace cranberryreel::soak
