#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>

namespace cranberryreel::replication
{

enum class FaultKind : std::uint8_t {
    None,
    Crash, ///< Ends the process; it returns later.
    CrashBeforeSync, ///< Ends it between the next sending and the write that belongs to it.
    WipeDisk, ///< Ends it and empties its disk.
    RollBackDisk, ///< Ends it and sets its disk back.
    Pause, ///< Freezes it, clock going on.
    Isolate, ///< Cuts it from all others, both ways.
    CutPair, ///< Cuts it from one other, both ways.
    Split, ///< Cuts the members into two parts.
    CutOneWay, ///< Nothing from it arrives anywhere.
    Lossy, ///< For all: messages are lost, repeated, delayed and reordered.
    ChangeMembers, ///< The leader swaps a member for the spare one, or leaves three of five; the next time it undoes that.
    HandOver, ///< The leader hands over.
    RaiseTerm, ///< The leader moves to a higher term.
    CrashLeader, ///< Ends whoever holds the lease.
    IsolateLeader, ///< Cuts off whoever holds the lease.
    PauseLeader, ///< Freezes whoever holds the lease.
    RestartRepaired, ///< Ends another member just after the last repaired one counts again.
    DeafenLeader, ///< Nothing arrives at whoever holds the lease; demands that another takes over.
    IsolateFollower, ///< Cuts off one that does not lead, and demands that its return causes no election.
    IsolateWitness, ///< Cuts off the first witness, if there is any.
    CrashAll, ///< Ends all that may be ended.
    Last = CrashAll,
};

/// One thing that happens to a simulated group, and how long it lasts.
struct Fault {
    FaultKind kind = FaultKind::None;
    std::uint32_t member = 0; ///< Modulo the number of members.
    std::uint32_t other = 0;
    std::chrono::milliseconds wait{500}; ///< Before it.
    std::chrono::milliseconds duration{1000};
};

inline std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    return stream << "{kind " << static_cast<int>(fault.kind) << ", member " << fault.member << ", other " << fault.other << ", wait " << fault.wait.count()
                  << " ms, duration " << fault.duration.count() << " ms}";
}

} // namespace cranberryreel::replication
