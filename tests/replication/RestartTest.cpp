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
constexpr int Seeds = 30;

/// Restarts all members at once and returns the time from their return until one of them leads.
milliseconds timeToLeader(Simulation &simulation, std::size_t members)
{
    for (std::uint32_t member = 0; member < members; ++member) {
        Fault crash;
        crash.kind = FaultKind::Crash;
        crash.member = member;
        crash.wait = milliseconds(0);
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
    const GroupTimings timings;
    int withoutGrace = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Layout layout = threeDisks();
        layout.options.spare.reset();
        layout.options.seed = seed;
        const CoreSafety safety;
        Simulation simulation(layout.options, safety);
        simulation.runFor(Formation);
        BOOST_TEST_REQUIRE(!simulation.leader().empty());
        const milliseconds time = timeToLeader(simulation, layout.options.members.size());
        withoutGrace += time < timings.restartGrace ? 1 : 0;
        // A vote that no candidate wins costs another election timeout.
        BOOST_TEST(time.count() < (timings.restartGrace + timings.electionMax).count());
        BOOST_TEST_REQUIRE(simulation.oracle().violation() == "");
    }
    BOOST_TEST(withoutGrace > Seeds * 2 / 3);
}

BOOST_AUTO_TEST_SUITE_END()
