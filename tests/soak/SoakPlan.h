#pragma once

#include "soak/FaultKind.h"
#include "soak/SoakStep.h"
#include "support/PlatformCellOptions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace cranberryreel::soak
{

/// A VM that is back, or the successor of a removed one, counts as lost for this time.
constexpr std::chrono::seconds CatchUpTime{4};
/// A process ends within this time after SIGTERM.
constexpr std::chrono::seconds GraceTime{6};
/// The cell serves again within this time after all VMs are back.
constexpr std::chrono::seconds RecoveryTime{12};

/// A task that lasts runs again within this time of the end of its last run while nothing else disturbs the cell, whatever lease the platform allows.
constexpr std::chrono::seconds RestartLimit{9};
/// Longest lease that the platform allows.
constexpr std::chrono::seconds PlatformLeaseMax{10};
/// Slowest clock of an upstream that the platform allows.
constexpr double SlowClockRate = 0.98;
/// What is left of RestartLimit beside a lease of 6 s on the slowest clock.
constexpr std::chrono::milliseconds RestartMargin{2878};
/// The same limit where the upstream restarted before it was cut off: a call that was meant for its earlier incarnation may have given it the platform's
/// longest lease, which lasts 10.204 s by the slowest clock.
constexpr std::chrono::milliseconds LimitAfterRestart = std::chrono::milliseconds{10205} + RestartMargin;

/// Upstreams of a soak with rounds. With two tasks of a job on each, those that are left have room for a lost one's tasks twice over.
constexpr int UpstreamCount = 4;
/// Failed runs that end a job of the cell's queues.
constexpr std::size_t MaxAttempts = 2;
/// A job whose tasks end is shown as ended within this time in a calm cell: its last run may wait for a lease that is over, then for members, and two more
/// runs may follow.
constexpr std::chrono::seconds GangEndLimit{30};
/// Members of a gang wait for the others for this time.
constexpr std::chrono::seconds GangWait{3};

/// Faults that overlap, and the end of a round.
struct SoakRound {
    std::vector<SoakStep> steps; ///< By time.
    std::chrono::milliseconds closing{0}; ///< Time of the closing fault; no VM counts as lost any longer.
    bool powerLoss = false; ///< All VMs with a disk are killed at the closing fault.
    std::vector<std::size_t> disksLost; ///< Places whose VMs lose their disk then.
    std::chrono::milliseconds downTime{0}; ///< Time until the VMs of the closing fault are started.
};

/// Draws the layout and the faults of a soak from a seed. Never more VMs with a disk count as lost than the cell tolerates, except at a loss of power.
class SoakPlan
{
public:
    explicit SoakPlan(std::uint64_t seed);

    const support::PlatformCellOptions &layout() const;
    SoakRound nextRound();

    /// The end of one upstream, by time, while nothing else disturbs the cell.
    std::vector<SoakStep> nextLoss();

private:
    std::size_t below(std::size_t bound);
    std::chrono::milliseconds between(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);

    /// The time after which no VM counts as lost and no step is left.
    std::chrono::milliseconds calmTime(const SoakRound &round) const;
    void addFaults(SoakRound &round, std::chrono::milliseconds length);
    void addRemovals(SoakRound &round);
    void addFault(SoakRound &round, const FaultKind &kind, std::chrono::milliseconds time, std::size_t place);
    void addPowerLoss(SoakRound &round, std::chrono::milliseconds time);
    void addEntryFault(SoakRound &round, std::chrono::milliseconds time);
    void addClosing(SoakRound &round);

    std::mt19937_64 random;
    std::mt19937_64 lossRandom; ///< Apart from the other one, so that a seed keeps its rounds.
    std::uint64_t nextLossKind; ///< The kinds take turns, so that a short soak has both.
    support::PlatformCellOptions options;
    std::vector<std::chrono::milliseconds> lostUntil; ///< By place, in the round that is being drawn.
};

} // namespace cranberryreel::soak
