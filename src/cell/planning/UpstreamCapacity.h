#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/UpstreamTracker.h"
#include "cell/health/SpeedSource.h"
#include "cell/planning/Capacity.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Which work may still start on an upstream that is set aside for waiting large work. HoldTerms ends each reservation.
enum class Reservation : std::uint8_t {
    None, ///< Any work; the upstream is not reserved.
    AgainstGangs, ///< Any work but another gang, which would take tickets or room that the gang is waiting to have together.
    Draining, ///< Only work that can be preempted for the gang later, or that ends before the upstream will have drained.
    Exclusive ///< No work but that of the gang.
};

/// The free capacity of one upstream, with the state that decides what may start there.
struct UpstreamCapacity {
    const wire::UpstreamT *upstream = nullptr;
    bool usable = false; ///< New work can be started there now.
    std::uint64_t incarnation = 0; ///< Incarnation of the upstream's process; 0 when this leader tracks none.
    Capacity free; ///< Capacity that no run uses.
    Capacity unreserved; ///< Free capacity, less what steps with a pending advice query about this upstream are expected to use.
    Capacity freeAfterStops; ///< Free capacity once the pending stops have ended, less what is reserved for steps that wait for those stops.
    Capacity freeWhenDrained; ///< Capacity that no task that lasts uses: all that can become free by itself.
    std::size_t runs = 0;
    int fillerTasks = 0; ///< Running tasks of filler steps, which use leftover capacity.
    int servingTasks = 0; ///< Running tasks that serve users; see servesUsers().
    int failuresInRow = 0; ///< Tasks of different jobs that failed there since the last success.
    Reservation reservation = Reservation::None; ///< For waiting large work.
    std::chrono::milliseconds drainTime{0}; ///< Where reserved as Draining: until the large work will have room.
    int drainPriority = 0; ///< Where reserved as Draining: the priority of the large work.
    double speed = 1.0; ///< Relative to the mean; 1 unless placement considers speed.

    /// Counts one more task of the step as running.
    void allocate(const wire::StepT &step);
    /// Undoes allocate().
    void release(const wire::StepT &step);

    bool hasLabel(const std::string &label) const;
};

/// The free capacity of all upstreams, computed from the runs that the log records. Processor time of fillers counts like any other, so that a filler finds
/// some free. Not thread-safe; made anew for each plan, and refers to the state that it was made from.
class CapacityTable
{
public:
    /// `speeds` is null when placement does not consider speed.
    CapacityTable(const CellState &state,
                  const std::map<std::uint64_t, UpstreamTracker> &trackers,
                  base::SteadyTime now,
                  const health::SpeedSource *speeds = nullptr);

    /// Ordered by upstream number.
    std::vector<UpstreamCapacity> &all()
    {
        return this->capacities;
    }

    /// Null when there is no such upstream.
    UpstreamCapacity *find(std::uint64_t upstream);

private:
    std::vector<UpstreamCapacity> capacities;
};

/// True for a lasting step with a target for tail latency.
bool servesUsers(const wire::StepT &step);

/// True when tasks of the step can be stopped for other work and resume elsewhere from their saved progress.
bool isPreemptible(const wire::StepT &step);

/// Calls visit(run, step, taskKey) for each recorded run of the job.
template<typename Visit>
void forEachRunOf(const wire::JobT &job, Visit visit)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        const auto &steps = job.occurrences[k]->steps;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            for (std::uint32_t t = 0; t < steps[s]->tasks.size(); ++t) {
                for (const auto &run : steps[s]->tasks[t]->runs) {
                    visit(*run, *job.spec->steps[s], TaskKey{{job.number, k, s}, t});
                }
            }
        }
    }
}

/// Calls visit(run, step, job, taskKey) for each recorded run.
template<typename Visit>
void forEachRun(const CellState &state, Visit visit)
{
    for (const std::uint64_t number : state.openJobs()) {
        const wire::JobT &job = *state.job(number);
        forEachRunOf(job, [&visit, &job](const wire::RunT &run, const wire::StepT &step, const TaskKey &task) { visit(run, step, job, task); });
    }
}

} // namespace cranberryreel::cell::planning
