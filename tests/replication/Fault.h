#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>

namespace cranberryreel::replication
{

enum class FaultKind : std::uint8_t {
    None,
    Crash, ///< Ends a member's process, which restarts later.
    CrashBeforeSync, ///< Ends the process after its next messages are sent and before the write that follows.
    WipeDisk, ///< Ends the process and empties its disk.
    RollBackDisk, ///< Ends the process and restores an earlier state of its disk.
    Pause, ///< Freezes the process while its clock runs on.
    Isolate, ///< Cuts the member off from all others in both directions.
    CutPair, ///< Cuts the member off from one other in both directions.
    Split, ///< Partitions the members into two parts.
    CutOneWay, ///< Drops all messages that the member sends.
    Lossy, ///< Messages of all members are lost, repeated, delayed and reordered.
    ChangeMembers, ///< The leader replaces a member by the spare one or shrinks five members to three; the next such fault restores the first members.
    HandOver, ///< The leader hands leadership over.
    RaiseTerm, ///< The leader moves to a higher term.
    CrashLeader, ///< Ends the process of the lease holder.
    IsolateLeader, ///< Cuts off the lease holder.
    PauseLeader, ///< Freezes the lease holder.
    RestartRepaired, ///< Ends the leader's process as soon as all members count again.
    BlockLeaderInput, ///< Drops all messages to the lease holder and requires that another member takes over.
    IsolateFollower, ///< Cuts off a member that does not lead and requires that its return causes no election.
    IsolateWitness, ///< Cuts off all witnesses.
    CrashAll, ///< Ends the process of every member that may be ended.
    Last = CrashAll,
};

/// One fault in a simulated group and its duration.
struct Fault {
    FaultKind kind = FaultKind::None;
    std::uint32_t member = 0; ///< Number of the member, modulo the number of members.
    std::uint32_t other = 0;
    std::chrono::milliseconds wait{500}; ///< Time before the fault.
    std::chrono::milliseconds duration{1000};
};

inline std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    return stream << "{kind " << static_cast<int>(fault.kind) << ", member " << fault.member << ", other " << fault.other << ", wait " << fault.wait.count()
                  << " ms, duration " << fault.duration.count() << " ms}";
}

} // namespace cranberryreel::replication
