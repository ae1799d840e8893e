#include "LossSchedule.h"

#include "cell/CellTimings.h"

#include <random>
#include <utility>

namespace cranberryreel::replication
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds FirstLossAfter{3000};
constexpr milliseconds RecoveryLimit{12000};
constexpr milliseconds LongestPowerLoss{3500};
constexpr std::uint64_t MostLosses = 8;

Loss randomLoss(std::mt19937_64 &random, bool dense)
{
    Loss loss;
    loss.kind = static_cast<LossKind>(random() % (static_cast<std::uint64_t>(LossKind::Last) + 1));
    loss.machine = static_cast<std::uint32_t>(random() % 60);
    loss.hitsLeader = random() % 3 == 0;
    loss.waitsForTurn = random() % 2 == 0;
    loss.wait = milliseconds(random() % (dense ? 600 : 5000));
    loss.duration = milliseconds(50 + random() % (dense ? 1500 : 6000));
    return loss;
}

} // namespace

Simulation::Options keptGroup(std::size_t tolerated, std::size_t standbys)
{
    Simulation::Options options;
    options.timings = cell::cellGroupTimings();
    options.tolerated = tolerated;
    const std::size_t members = 2 * tolerated + 1;
    options.keeping = cell::GroupKeeper::Options{members, tolerated, options.catchUp / 2};
    for (std::size_t i = 1; i <= members + standbys; ++i) {
        (i <= members ? options.members : options.standbys).push_back(Member{"e" + std::to_string(i), true, false});
    }
    options.proposalOneIn = 40;
    options.snapshotEvery = 100;
    return options;
}

LossOutcome playLosses(Simulation::Options options, std::uint64_t seed, const CoreSafety &safety)
{
    std::mt19937_64 random(seed);
    options.seed = random();
    Simulation simulation(std::move(options), safety);
    simulation.runFor(FirstLossAfter);
    const std::uint64_t losses = 1 + random() % MostLosses;
    const bool dense = random() % 2 == 0;
    for (std::uint64_t i = 0; i < losses; ++i) {
        simulation.inject(randomLoss(random, dense));
    }
    Loss last;
    last.kind = LossKind::PowerLoss;
    last.wait = milliseconds(random() % 8000);
    simulation.inject(last);
    simulation.runFor(LongestPowerLoss);
    simulation.recover(RecoveryLimit);
    return LossOutcome{simulation.oracle().violation(), simulation.history() + simulation.describe(), simulation.recoveryTimes()};
}

} // namespace cranberryreel::replication
