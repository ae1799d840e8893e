#pragma once

#include <chrono>
#include <cstdint>

namespace cranberryreel::replication
{

enum class LossKind : std::uint8_t {
    Restart, ///< Ends a VM's process, which restarts with its disk.
    Isolate, ///< Cuts a VM off from all others.
    FullDisk, ///< A VM's disk refuses writes.
    HungDisk, ///< A VM's disk neither accepts writes nor fails, so that the VM freezes.
    WipedDisk, ///< Ends a VM's process, which restarts with an empty disk.
    Replaced, ///< A VM is gone for good; a new one with an empty disk starts later.
    HandOver, ///< The leader hands leadership over. No VM is lost.
    Stutter, ///< A VM freezes for less than a second, which may move leadership. It does not count as lost.
    LossyNetwork, ///< Messages of all VMs are lost, repeated, delayed and reordered for a while. No VM is lost.
    PowerLoss, ///< All VMs restart at the same time; as many as may be lost also lose their disks.
    Last = PowerLoss,
};

/// One fault in a Simulation that keeps its membership by standbys.
struct Loss {
    LossKind kind = LossKind::Restart;
    std::uint32_t machine = 0; ///< Number of the machine, modulo the number of machines.
    bool hitsLeader = false; ///< Hits the leader's machine instead, if there is a leader.
    bool waitsForTurn = false; ///< Waits until one more machine may be lost; otherwise the fault is left out while none may.
    std::chrono::milliseconds wait{500}; ///< Time before the fault.
    std::chrono::milliseconds duration{1000};
};

} // namespace cranberryreel::replication
