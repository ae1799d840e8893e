#pragma once

#include "soak/LastingRuns.h"
#include "soak/SoakUpstream.h"
#include "support/PlatformCell.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// The upstreams of a cell's service for tasks that last, and the jobs with such tasks. Owned by a soak and used by its thread.
class SoakUpstreams
{
public:
    explicit SoakUpstreams(support::PlatformCell &platformCell);
    ~SoakUpstreams();
    SoakUpstreams(const SoakUpstreams &) = delete;
    SoakUpstreams &operator=(const SoakUpstreams &) = delete;

    /// Starts the upstreams and submits the jobs.
    void start();
    void stop();

    /// Sets the VMs that receive announcements.
    void setControlVms(std::vector<std::string> vms);

    const LastingRuns &lastingRuns() const;

    void addUpstream();

    /// The draining upstream, or else the one with the most runs.
    std::string nextToEnd() const;

    void drain(const std::string &id);
    void vanish(const std::string &id);

private:
    bool announce(const std::string &id, const std::string &body);
    std::vector<std::unique_ptr<SoakUpstream>>::iterator find(const std::string &id);

    support::PlatformCell &cell;
    LastingRuns runs;
    mutable absl::Mutex mutex;
    std::vector<std::string> controlVms ABSL_GUARDED_BY(mutex);
    std::size_t announcements ABSL_GUARDED_BY(mutex) = 0;
    int added = 0;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams;
};

} // namespace cranberryreel::soak
