#pragma once

#include "cell/AdviceCalls.h"
#include "cell/AdviceQueryClass.h"
#include "cell/AdviceVmReserve.h"
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
/// Slow queries therefore leave some VMs free for quick ones; see AdviceVmReserve. Thread-safe. Owned by the CellDaemon.
class AdviceDispatcher
{
public:
    AdviceDispatcher(std::string ownVmName, link::LinkHub &linkHub, AdviceCalls &ownCalls);

    /// Sends the query over a free VM. Returns false, without sending and without calling `done`, when no VM is free for this class of query. `done` may run on
    /// any thread.
    bool tryQuery(
        AdviceQueryClass queryClass, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done);

private:
    struct VmState {
        bool busy = false; ///< A query sent over this VM is unanswered.
        base::SteadyTime excludedUntil{}; ///< No query is sent over this VM before; set after a failed query.
    };

    /// The linked VMs, this one included, over which queries can be sent.
    struct UsableVms {
        std::size_t count = 0; ///< Free and busy ones.
        std::vector<std::string> free;
    };

    UsableVms usableVms(base::SteadyTime now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void logRefusal(AdviceQueryClass queryClass, const UsableVms &vms, base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void
    sendQuery(const std::string &vm, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done);
    void finishQuery(const std::string &vm, bool answered);

    const std::string ownVm;
    link::LinkHub &hub;
    AdviceCalls &calls;
    mutable absl::Mutex mutex;
    std::map<std::string, VmState> vmStates ABSL_GUARDED_BY(mutex);
    AdviceVmReserve reserve ABSL_GUARDED_BY(mutex);
    base::SteadyTime nextRefusalLog ABSL_GUARDED_BY(mutex){};
    std::size_t nextVm ABSL_GUARDED_BY(mutex) = 0; ///< Round-robin counter.
};

} // namespace cranberryreel::cell
