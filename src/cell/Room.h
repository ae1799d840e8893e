#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/UpstreamLife.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// What is free on one upstream.
struct Room {
    const wire::UpstreamT *upstream = nullptr;
    bool usable = false; ///< It can be given work now.
    std::uint64_t life = 0; ///< UpstreamLife::epoch; 0 when this leader knows of none.
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;
    int fillers = 0; ///< Tasks there that use what others leave.
    int servers = 0; ///< Tasks there that serve users of their own.
    int failuresInRow = 0;

    /// How many tasks of this size fit, `most` at most.
    std::uint32_t fits(const wire::StepT &step, std::uint32_t most) const;

    void take(const wire::StepT &step);
    void giveBack(const wire::StepT &step);

    bool hasLabel(const std::string &label) const;
};

/// The free room of all upstreams, worked out from the runs that the log records. A filler's processor time is counted like any other's, so that it finds
/// some left. Pure; made anew for each plan.
class RoomTable
{
public:
    RoomTable(const CellState &state, const std::map<std::uint64_t, UpstreamLife> &lives, base::SteadyTime now);

    /// In the order of their numbers.
    std::vector<Room> &all()
    {
        return this->rooms;
    }

    Room *find(std::uint64_t upstream);

    /// Of the usable upstreams.
    std::int64_t usableCpuMillis() const
    {
        return this->usableCpu;
    }

    std::int64_t freeCpuMillis() const;

private:
    std::vector<Room> rooms;
    std::int64_t usableCpu = 0;
};

bool servesUsers(const wire::StepT &step);

/// Calls visit(run, step, job, taskKey) for each recorded run.
template<typename Visit>
void forEachRun(const CellState &state, Visit visit)
{
    for (const std::uint64_t number : state.openJobs()) {
        const wire::JobT &job = *state.job(number);
        for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
            const auto &steps = job.occurrences[k]->steps;
            for (std::uint32_t s = 0; s < steps.size(); ++s) {
                for (std::uint32_t t = 0; t < steps[s]->tasks.size(); ++t) {
                    for (const auto &run : steps[s]->tasks[t]->runs) {
                        visit(*run, *job.spec->steps[s], job, TaskKey{{number, k, s}, t});
                    }
                }
            }
        }
    }
}

} // namespace cranberryreel::cell
