#include "Simulation.h"
#include "SimulationLayouts.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>

using namespace cranberryreel::replication;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds Formation{6000};
constexpr milliseconds Down{100};
constexpr milliseconds Step{10};

/// Restarts all members at once and returns the time from their return until one of them leads.
milliseconds timeToLeader(Simulation &simulation, std::size_t members)
{
    for (std::size_t member = 0; member < members; ++member) {
        Fault crash;
        crash.kind = FaultKind::Crash;
        crash.member = static_cast<int>(member);
        crash.duration = Down;
        simulation.inject(crash);
    }
    simulation.runFor(Down);
    milliseconds time{0};
    while (simulation.leader().empty() && time < Formation) {
        simulation.runFor(Step);
        time += Step;
    }
    return time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestartTest)

/// Load pattern: all members lose power at once, and callers wait until one of them leads again.
BOOST_AUTO_TEST_CASE(membersThatAllRestartedDoNotWaitForALeader)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Layout layout = threeDisks();
        layout.options.spare.reset();
        layout.options.seed = seed;
        Simulation simulation(layout.options, CoreSafety());
        simulation.runFor(Formation);
        BOOST_TEST_REQUIRE(!simulation.leader().empty());
        BOOST_TEST(timeToLeader(simulation, layout.options.members.size()).count() < GroupTimings().restartGrace.count());
        BOOST_TEST_REQUIRE(simulation.oracle().violation() == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
