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

/// Spreads questions to the advice service over all VMs that are linked to this one, since the service takes one call of each VM at a time.
/// Load pattern: steps of wide jobs take half a second of advice each, several a second, beside quick steps that cannot wait behind one of them. So slow
/// questions leave some VMs free for quick ones. Any thread. Owned by the CellMember.
class AdvicePool
{
public:
    enum class Pace {
        Quick,
        Slow,
        Ahead ///< A slow one that can do without its answer.
    };

    AdvicePool(std::string own, link::LinkHub &linkHub, AdviceCalls &ownCalls);

    /// False: no VM is free for it now, and nothing was asked. The callback may come on any thread.
    bool ask(Pace pace, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceDone done);

private:
    struct Asker {
        bool busy = false;
        base::SteadyTime shunnedUntil{};
    };

    /// `all`: set to the number of VMs that can be asked at all.
    std::vector<std::string> freeOnes(std::size_t &all) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void askOver(const std::string &vm, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceDone done);
    void release(const std::string &vm, bool answered);

    const std::string ownVm;
    link::LinkHub &hub;
    AdviceCalls &calls;
    mutable absl::Mutex mutex;
    std::map<std::string, Asker> askers ABSL_GUARDED_BY(mutex);
    std::size_t next ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace cranberryreel::cell
