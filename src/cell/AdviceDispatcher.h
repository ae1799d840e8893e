#pragma once

#include "cell/AdviceCalls.h"
#include "link/LinkHub.h"

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Spreads advice queries over this VM and all VMs linked to it, since the advice service serves one call per VM at a time.
/// Load pattern: steps of wide jobs arrive several times a second and need half a second of advice each, beside quick steps that cannot wait behind them.
/// Slow queries therefore leave some VMs free for quick ones. Thread-safe. Owned by the CellDaemon.
class AdviceDispatcher
{
public:
    enum class QueryClass {
        Quick,
        Slow,
        Prefetch ///< A slow query whose answer is not needed yet.
    };

    AdviceDispatcher(std::string ownVmName, link::LinkHub &linkHub, AdviceCalls &ownCalls);

    /// Sends the query over a free VM. Returns false, without sending and without calling `done`, when no VM is free for this class of query. `done` may run on
    /// any thread.
    bool
    tryQuery(QueryClass queryClass, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done);

private:
    struct VmState {
        bool busy = false; ///< A query sent over this VM is unanswered.
        base::SteadyTime excludedUntil{}; ///< No query is sent over this VM before; set after a failed query.
    };

    /// The linked VMs over which a query can be sent now. Sets `linkedVms` to the number of VMs that are linked, this VM and busy ones included.
    std::vector<std::string> freeVms(std::size_t &linkedVms) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void
    sendQuery(const std::string &vm, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done);
    void finishQuery(const std::string &vm, bool answered);

    const std::string ownVm;
    link::LinkHub &hub;
    AdviceCalls &calls;
    mutable absl::Mutex mutex;
    std::map<std::string, VmState> vmStates ABSL_GUARDED_BY(mutex);
    std::size_t nextVm ABSL_GUARDED_BY(mutex) = 0; ///< Round-robin counter.
};

} // namespace cranberryreel::cell
