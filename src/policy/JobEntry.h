#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/Resources.h"
#include "policy/Ids.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// State of a task in the planner.
enum class TaskPhase : std::uint8_t {
    Absent, ///< Not tracked: the job is known only from other tasks that were adopted, and this one may have ended.
    Waiting,
    Starting,
    Running,
    Ended,
};

/// One task of a job in the planner.
struct TaskEntry {
    TaskPhase phase = TaskPhase::Waiting;
    bool preempting = false;
    bool throttled = false;
    UpstreamIndex upstream = NoIndex;
    VmIndex vm = NoIndex;
    std::uint32_t indexOnVm = 0; ///< Index in the VM's list of tasks.
    std::uint32_t indexInPreemptible = NoIndex; ///< Index in the partner's list of preemptible tasks; NoIndex if not in it.
    model::Resources reserved;
    model::Resources peak; ///< Largest reported usage.
    base::SteadyTime startedAt;
    base::SteadyTime expectedEnd;
    base::SteadyTime sizeLearnedAt;

    bool isActive() const
    {
        return this->phase == TaskPhase::Starting || this->phase == TaskPhase::Running;
    }
};

/// A job known to the planner, without its payload. Owned by JobTable.
struct JobEntry {
    model::JobId id;
    model::JobKind kind = model::JobKind::Request;
    PartnerIndex partner = NoIndex;
    NameIndex name = NoIndex;
    ServiceIndex service = 0;
    model::Resources declared;
    model::Resources need; ///< What each of its tasks reserves: the larger of declared and learned size.
    std::int32_t priority = 0;
    std::chrono::milliseconds runTime{0}; ///< Declared run time; 0 if not declared.
    base::SteadyTime deadline = base::SteadyTime::max();
    base::SteadyTime enqueuedAt;
    base::SteadyTime lastStartAt; ///< Last start of any of its tasks.
    base::SteadyTime latestStart = base::SteadyTime::max(); ///< Latest start that meets the deadline.
    base::SteadyTime nextPreemptAt; ///< Earliest time of the next attempt to preempt other work for it.
    base::SteadyTime nextGangTryAt; ///< Earliest time to try to start the whole gang again after a failure.
    base::SteadyTime nextReserveAt; ///< Earliest time to try to reserve VMs again after a failure.
    VmIndex reservedVm = NoIndex; ///< VM reserved for it while the tasks preempted for it stop.
    base::SteadyTime reservedUntil;
    std::uint64_t sequence = 0; ///< Order of arrival.
    std::uint64_t blockedVersion = 0; ///< The ledger's version at which no VM had free capacity for the job; 0 if unknown.
    std::vector<TaskEntry> tasks;
    std::vector<std::uint32_t> requeued; ///< Tasks that were requeued; a min-heap.
    absl::flat_hash_map<std::uint32_t, std::uint32_t> tasksByRack; ///< Active tasks by rack or VM; counted for services only.
    absl::flat_hash_map<VmIndex, std::uint32_t> tasksByVm; ///< Active tasks by rack or VM; counted for services only.
    std::uint32_t nextUnstarted = 0; ///< The lowest task that may never have been started.
    std::uint32_t waiting = 0;
    std::uint32_t active = 0;
    bool repeatable = true;
    bool queued = false;
    bool cancelled = false;
    bool adoptedOnly = false; ///< Known only from its adopted tasks; the job itself was not enqueued or restored yet.
};

} // namespace cranberryreel::policy
