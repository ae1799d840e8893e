#pragma once

#include "cell/PlacementRules.h"
#include "cell/PlanInput.h"
#include "cell/Preemptor.h"
#include "cell/QuestionPlanner.h"
#include "cell/ReadySteps.h"
#include "cell/Room.h"
#include "cell/ServicePool.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Where one task is to start.
struct PlannedStart {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::uint64_t upstream = 0;
};

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<RunKey> stops; ///< Runs that give way.
    std::vector<AdviceWish> wishes; ///< In the order in which the steps are served.
    std::vector<ServiceLoad> loads;
};

/// Decides which waiting tasks start where. Pure: it reads the state and writes nothing.
/// Load pattern: three kinds of work share the upstreams. Quick work (priority 0) comes in bursts and must start at once, so other work leaves it some
/// room. Fillers never share an upstream with tasks that serve users, so that they cannot slow them down. Gangs start whole or not at all. A zone that is cut
/// off must not hold up jobs of the others, so a job stays in its submitter's zone while there is room. Gangs that need whole upstreams meet small work that
/// keeps all of them partly used, so small work on accelerators goes where least is free, and a gang without room claims upstreams: nothing else starts there.
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

    /// An upstream that a waiting gang may have.
    struct Claim {
        std::size_t cost = 0; ///< Runs that must give way for its first task.
        bool ticketed = false;
        std::uint32_t here = 0; ///< Tasks that can find room.
        Room *room = nullptr;

        bool operator<(const Claim &other) const;
    };

    std::string preferredRack(const ReadyStep &ready, const ServicePool &pool);
    std::vector<Candidate> candidatesFor(const ReadyStep &ready, ServicePool &pool);
    Room *bestRoom(const ReadyStep &ready, std::uint32_t task, const std::vector<Candidate> &candidates) const;
    std::vector<std::uint32_t> place(const ReadyStep &ready, ServicePool &pool);
    std::vector<std::uint32_t> placeGang(const ReadyStep &ready, ServicePool &pool);
    std::vector<Room *> claimableRooms(const ReadyStep &ready, const ServicePool &pool) const;
    bool gangHasItsTurn(const ReadyStep &ready, ServicePool &pool);
    std::vector<Room *> claimRooms(const ReadyStep &ready, ServicePool &pool);
    std::vector<Room *> takeClaims(const ReadyStep &ready, const std::vector<Claim> &claims);
    void start(const ReadyStep &ready, std::uint32_t task, std::uint32_t attempt, Room &room, ServicePool &pool);
    void takeBack(const ReadyStep &ready, std::size_t before, ServicePool &pool);

    const PlanInput &input;
    RoomTable rooms;
    std::map<std::string, ServicePool> pools;
    PlacementRules rules;
    Preemptor preemptor;
    QuestionPlanner questions;
    Plan plan;
};

} // namespace cranberryreel::cell
