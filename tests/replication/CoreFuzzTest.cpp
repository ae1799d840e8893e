#include "Simulation.h"
#include "SimulationLayouts.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

using namespace cranberryreel::replication;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds RecoveryLimit{20000};

rc::Gen<Fault> anyFault()
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
                     rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::Last) + 1), [](int kind) { return static_cast<FaultKind>(kind); })),
        rc::gen::set(&Fault::member, rc::gen::inRange<std::uint32_t>(0, 60)),
        rc::gen::set(&Fault::other, rc::gen::inRange<std::uint32_t>(0, 60)),
        rc::gen::set(&Fault::wait, rc::gen::map(rc::gen::inRange(0, 1500), [](int count) { return milliseconds(count); })),
        rc::gen::set(&Fault::duration, rc::gen::map(rc::gen::inRange(1, 4000), [](int count) { return milliseconds(count); })));
}

/// Runs random schedules of any faults against the layout.
bool holdsInvariantsUnderAnyFaults(const Layout &layout, std::uint64_t &steps)
{
    return rc::check("a group of " + layout.name + " holds its invariants", [&layout, &steps] {
        Simulation::Options options = layout.options;
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 40U);
        const auto faults = *rc::gen::container<std::vector<Fault>>(anyFault());
        const CoreSafety safety;
        Simulation simulation(options, safety);
        simulation.runFor(milliseconds(4000));
        for (const Fault &fault : faults) {
            simulation.inject(fault);
        }
        simulation.recover(RecoveryLimit);
        steps += simulation.steps();
        RC_LOG() << simulation.oracle().violation() << "\n" << simulation.describe();
        RC_ASSERT(!simulation.violated());
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(CoreFuzzTest)

BOOST_AUTO_TEST_CASE(everyLayoutHoldsItsInvariantsUnderAnyFaults)
{
    std::uint64_t steps = 0;
    for (const Layout &layout : allLayouts()) {
        BOOST_TEST(holdsInvariantsUnderAnyFaults(layout, steps), layout.name);
    }
    BOOST_TEST_MESSAGE("core steps: " << steps);
}

BOOST_AUTO_TEST_SUITE_END()
