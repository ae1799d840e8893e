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

enum class TaskPhase : std::uint8_t {
    Absent, ///< Not the planner's: it ended before the job was taken in.
    Waiting,
    Starting,
    Running,
    Ended,
};

/// One task of a job in the planner's memory.
struct TaskEntry {
    TaskPhase phase = TaskPhase::Waiting;
    bool preempting = false;
    bool throttled = false;
    UpstreamIndex upstream = NoIndex;
    VmIndex vm = NoIndex;
    std::uint32_t placeOnVm = 0; ///< Its place in the VM's list of tasks.
    std::uint32_t placeOfPartner = NoIndex; ///< Its place among its partner's preemptible tasks.
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

/// A job in the planner's memory, without its payload. Owned by the job table.
struct JobEntry {
    model::JobId id;
    model::JobKind kind = model::JobKind::Request;
    PartnerIndex partner = NoIndex;
    NameIndex name = NoIndex;
    ServiceIndex service = 0;
    model::Resources declared;
    model::Resources need; ///< What a task of it reserves: the larger of declared and learned.
    std::int32_t priority = 0;
    std::chrono::milliseconds runTime{0}; ///< Declared; 0 when not.
    base::SteadyTime deadline = base::SteadyTime::max();
    base::SteadyTime enqueuedAt;
    base::SteadyTime lastStartAt; ///< Of any of its tasks.
    base::SteadyTime latestStart = base::SteadyTime::max(); ///< After it the deadline cannot be met.
    base::SteadyTime nextPreemptAt; ///< Preemption on its behalf is not tried sooner.
    base::SteadyTime nextGangTryAt; ///< Starting it whole, past a failed try.
    base::SteadyTime nextReserveAt; ///< Holding VMs for it, past a failed try.
    VmIndex heldVm = NoIndex; ///< Held for it while tasks that give way to it are stopped.
    base::SteadyTime heldUntil;
    std::uint64_t sequence = 0; ///< Order of arrival.
    std::uint64_t blockedVersion = 0; ///< The ledger's version at which no VM had room for it; 0 when not known.
    std::vector<TaskEntry> tasks;
    std::vector<std::uint32_t> returned; ///< Tasks that wait again; a heap with the smallest on top.
    absl::flat_hash_map<std::uint32_t, std::uint32_t> tasksByRack; ///< Of services only.
    absl::flat_hash_map<VmIndex, std::uint32_t> tasksByVm; ///< Of services only.
    std::uint32_t nextFresh = 0; ///< The first task that may never have been started.
    std::uint32_t waiting = 0;
    std::uint32_t active = 0;
    bool repeatable = true;
    bool queued = false;
    bool cancelled = false;
    bool adoptedOnly = false; ///< Known from its running tasks, not yet taken in as a whole.
};

} // namespace cranberryreel::policy
