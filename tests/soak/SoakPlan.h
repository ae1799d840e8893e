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
