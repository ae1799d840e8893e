#include "cell/planning/SimulatedService.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::SimulatedService;

BOOST_AUTO_TEST_SUITE(ReservationsOfRestartsTest)

/// Failure: a reservation for a gang kept a task that lasts from starting again. Both sides: it starts, and where it can beside the gang's upstreams.
BOOST_AUTO_TEST_CASE(aTaskThatLastsStartsAgainOnUpstreamsThatDrainForAGang)
{
    SimulatedService service(2, 64000);
    service.submit("work", support::step(2, 40000), seconds(6));
    auto step = support::step(1, 2000);
    const std::uint64_t number = service.submitLasting("late", std::move(step));
    service.run(milliseconds(100));
    const std::uint64_t gang = [&] {
        auto members = support::step(2, 33000);
        members->gang = true;
        return service.submit("gangs", std::move(members), seconds(1));
    }();
    service.run(milliseconds(200));
    service.endRunsOf(number);
    service.run(milliseconds(100));
    BOOST_TEST(service.isRunning(number));
    service.run(seconds(10));
    BOOST_TEST(service.hasStarted(gang));
}

BOOST_AUTO_TEST_SUITE_END()
