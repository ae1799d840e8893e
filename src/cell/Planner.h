#pragma once

#include "cell/AdviceBook.h"
#include "cell/CellState.h"
#include "cell/ReadySteps.h"
#include "cell/Room.h"
#include "cell/UpstreamLife.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cranberryreel::cell
{

/// Where one task is to start.
struct PlannedStart {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::uint64_t upstream = 0;
};

/// A question for the advice service.
struct AdviceWish {
    StepKey step;
    bool quick = false; ///< Its answer takes tens of milliseconds and is waited for by callers.
    std::vector<std::uint64_t> upstreams; ///< Best ones first.
    std::chrono::milliseconds expected{0}; ///< How long the service takes for it.
    std::chrono::milliseconds valid{0}; ///< How long its tickets can be used.
};

/// How full the cell is once a plan is carried out.
struct CellLoad {
    std::int64_t usableCpuMillis = 0; ///< Of the upstreams that can be given work.
    std::int64_t freeCpuMillis = 0;
    std::size_t urgentWaiting = 0; ///< Tasks of priority 0 whose turn has come and that found no place.
    std::size_t otherWaiting = 0;
};

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<AdviceWish> wishes;
    CellLoad load;
};

/// What a plan is made from.
struct PlanInput {
    const CellState &state;
    const std::map<std::uint64_t, UpstreamLife> &lives;
    AdviceBook &advice;
    const std::map<TaskKey, std::set<std::uint64_t>> &failedAt; ///< Upstreams on which a task has failed.
    const std::map<std::uint64_t, base::SteadyTime> &acceptedAt; ///< When each open job was accepted, as far as this leader knows.
    base::SteadyTime now;
};

/// Decides which waiting tasks start where. Pure: it reads the state and writes nothing.
/// Load pattern: three kinds of work share the upstreams. Quick work (priority 0) comes in bursts and must start at once, so other work leaves it some
/// room. Fillers never share an upstream with tasks that serve users, so that they cannot slow them down. Gangs start whole or not at all. A zone that is cut
/// off must not hold up jobs of the others, so a job stays in its submitter's zone while there is room.
class Planner
{
public:
    explicit Planner(const PlanInput &planInput);

    Plan make();

private:
    /// An upstream on which the tasks of one step may start.
    struct Candidate {
        Room *room = nullptr;
        bool offRack = false; ///< Not on the rack that the step prefers.
        bool elsewhere = false; ///< Not in the submitter's zone.
    };

    bool mayRunOn(const ReadyStep &ready, const Room &room) const;
    bool hasTicket(const ReadyStep &ready, const StepAdvice &advice, const Room &room) const;
    bool leavesHeadroom(const ReadyStep &ready) const;
    std::uint32_t runsOn(const ReadyStep &ready, std::uint64_t upstream) const;
    std::uint32_t stillAllowed(const ReadyStep &ready, const Room &room) const;
    std::string preferredRack(const ReadyStep &ready);
    std::vector<Candidate> candidatesFor(const ReadyStep &ready);
    Room *bestRoom(const ReadyStep &ready, std::uint32_t task, const std::vector<Candidate> &candidates) const;
    std::vector<std::uint32_t> place(const ReadyStep &ready);
    std::vector<std::uint32_t> placeGang(const ReadyStep &ready);
    void wishAdvice(const ReadyStep &ready, std::uint32_t unplaced);
    void start(const ReadyStep &ready, std::uint32_t task, std::uint32_t attempt, Room &room);

    const PlanInput &input;
    RoomTable rooms;
    std::int64_t freeCpu = 0;
    std::map<std::pair<StepKey, std::uint64_t>, std::uint32_t> plannedOn;
    Plan plan;
};

} // namespace cranberryreel::cell
