#pragma once

#include "cell/Capacity.h"
#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/UpstreamTracker.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// How an upstream is kept for work that waits for more room than there is.
enum class Hold : std::uint8_t {
    None,
    ForWhatGivesWay, ///< Only work that saves its progress may start there meanwhile, and gives way later.
    ForAll ///< Nothing else starts there.
};

/// What is free on one upstream.
struct Room {
    const wire::UpstreamT *upstream = nullptr;
    bool usable = false; ///< It can be given work now.
    std::uint64_t life = 0; ///< UpstreamLife::epoch; 0 when this leader knows of none.
    Capacity free;
    Capacity unpledged; ///< Free, less what steps are expected to take that wait for advice on this upstream.
    Capacity expected; ///< Free once the stops under way have ended, less what is set apart for steps that wait for that.
    std::size_t runs = 0;
    int fillers = 0; ///< Tasks there that use what others leave.
    int servers = 0; ///< Tasks there that serve users of their own.
    int failuresInRow = 0;
    Hold hold = Hold::None; ///< For a gang that waits.

    void take(const wire::StepT &step);
    void giveBack(const wire::StepT &step);

    bool hasLabel(const std::string &label) const;
};

/// The free room of all upstreams, worked out from the runs that the log records. A filler's processor time is counted like any other's, so that it finds
/// some left. Pure; made anew for each plan.
class RoomTable
{
public:
    RoomTable(const CellState &state, const std::map<std::uint64_t, UpstreamTracker> &lives, base::SteadyTime now);

    /// In the order of their numbers.
    std::vector<Room> &all()
    {
        return this->rooms;
    }

    Room *find(std::uint64_t upstream);

private:
    std::vector<Room> rooms;
};

bool servesUsers(const wire::StepT &step);

/// Its tasks can be stopped for other work, and go on elsewhere where they were.
bool givesWay(const wire::StepT &step);

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
