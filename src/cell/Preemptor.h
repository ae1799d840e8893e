#pragma once

#include "cell/JobOutlook.h"
#include "cell/PlanInput.h"
#include "cell/ReadySteps.h"
#include "cell/Room.h"
#include "cell/ServicePool.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cranberryreel::cell
{

/// Makes room for work of a higher priority by stopping work that saves its progress as it stops, so that next to nothing is lost.
/// Load pattern: gangs that need whole upstreams meet single tasks on each of them, and waiting for those to end takes longer than the gang's objective. A run
/// gives way only when its own job has time to spare. Pure; made anew for each plan, and looks at the runs only when a gang found no place.
class Preemptor
{
public:
    Preemptor(const PlanInput &planInput, RoomTable &roomTable);

    /// What is free there, expected to be after stops under way, or could be made free for the step.
    Capacity reachable(const ReadyStep &ready, const Room &room);

    /// How many runs would have to stop for one more of its tasks; nothing when no number would do.
    std::optional<std::size_t> cost(const ReadyStep &ready, const Room &room);

    /// Sets room for one more task apart; false when there is none to be made.
    bool makeRoom(const ReadyStep &ready, Room &room);

    /// Chosen by makeRoom() so far.
    std::vector<RunKey> takeStops();

private:
    struct Victim {
        RunKey run;
        int priority = 0;
        int percent = 0;
        const wire::StepT *step = nullptr;
        std::chrono::milliseconds toSpare{0}; ///< So long its job can wait.
    };

    static bool canWait(const Victim &victim, const ReadyStep &ready);

    /// The fewest runs there that must stop for one more task; `enough` tells whether that would do.
    std::vector<std::size_t> chosenAt(const ReadyStep &ready, const Room &room, bool &enough);

    void collect();
    std::vector<Victim> &victimsAt(const Room &room);

    const PlanInput &input;
    RoomTable &rooms;
    bool collected = false;
    std::map<std::uint64_t, std::vector<Victim>> victims; ///< By upstream; those of the lowest priority, and with the most to do, first.
    std::vector<RunKey> stops;
};

} // namespace cranberryreel::cell
