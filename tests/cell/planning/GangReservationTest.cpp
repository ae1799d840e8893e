#include "cell/planning/SimulatedService.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::SimulatedService;

namespace
{

constexpr std::uint32_t UpstreamCpuMillis = 64000;
/// By the platform's rules, work that could run is lost after so long where half of the service is unused.
constexpr milliseconds LossTime{3000};

std::unique_ptr<cell::wire::StepT> gang(std::uint32_t members, std::uint32_t cpuMillis)
{
    auto step = support::step(members, cpuMillis);
    step->gang = true;
    return step;
}

/// Submits a job of the queue at a fixed interval, and tells how long the one that waited longest did.
class Stream
{
public:
    Stream(SimulatedService &simulated, milliseconds submitInterval, std::function<std::uint64_t()> submitOne)
        : service(simulated)
        , interval(submitInterval)
        , submit(std::move(submitOne))
    {
    }

    void operator()()
    {
        if (this->service.now >= this->next) {
            this->next = this->service.now + this->interval;
            this->jobs.push_back(this->submit());
        }
    }

    milliseconds longestWait() const
    {
        milliseconds longest{0};
        for (const std::uint64_t job : this->jobs) {
            longest = std::max(longest, this->service.waitOf(job));
        }
        return longest;
    }

private:
    SimulatedService &service;
    milliseconds interval;
    std::function<std::uint64_t()> submit;
    base::SteadyTime next{};
    std::vector<std::uint64_t> jobs;
};

/// Every 100 ms four tasks of four cores and 2 s: 1.25 times what four upstreams hold.
Stream overload(SimulatedService &service)
{
    return {service, milliseconds(100), [&service] { return service.submit("work", support::step(4, 4000), seconds(2)); }};
}

} // namespace

BOOST_AUTO_TEST_SUITE(GangReservationTest)

/// Failure: a gang waited for room that a task that lasts held. Work behind it without checkpoints never started, with 14% of the service in use.
BOOST_AUTO_TEST_CASE(workRunsBehindAGangThatATaskThatLastsKeepsWaiting)
{
    SimulatedService service(4, UpstreamCpuMillis);
    service.submitLasting("work", support::step(1, 35000));
    service.run(milliseconds(100));
    const std::uint64_t blocked = service.submit("gangs", gang(4, 33000), seconds(1));
    Stream small(service, milliseconds(500), [&service] { return service.submit("work", support::step(1, 2000), milliseconds(500)); });
    service.run(seconds(30), std::ref(small));
    BOOST_TEST(!service.hasStarted(blocked));
    BOOST_TEST(small.longestWait().count() < milliseconds(500).count());
}

/// Failure: the other side. A gang of higher priority waited for as long as small work kept coming, with room for it once some of that had ended.
BOOST_AUTO_TEST_CASE(aGangStartsBesideAStreamOfSmallWork)
{
    SimulatedService service(4, UpstreamCpuMillis);
    Stream stream = overload(service);
    service.run(seconds(5), std::ref(stream));
    const std::uint64_t waiting = service.submit("gangs", gang(4, 33000), seconds(1));
    service.run(seconds(10), std::ref(stream));
    BOOST_TEST(service.waitOf(waiting).count() < milliseconds(seconds(5)).count());
}

/// The price of that: a gang that has come just now empties no upstreams.
BOOST_AUTO_TEST_CASE(aGangThatHasJustComeLeavesTheServiceFull)
{
    SimulatedService service(4, UpstreamCpuMillis);
    Stream stream = overload(service);
    service.run(seconds(5), std::ref(stream));
    service.submit("gangs", gang(4, 33000), seconds(1));
    service.run(seconds(2), std::ref(stream));
    BOOST_TEST(service.runningTasks() == 64U);
}

/// Failure: a gang that could not run kept the capacity that large work may wait for.
BOOST_AUTO_TEST_CASE(aGangStartsBehindOneThatCannotRun)
{
    SimulatedService service(4, UpstreamCpuMillis);
    service.submitLasting("work", support::step(1, 35000));
    service.run(milliseconds(100));
    const std::uint64_t blocked = service.submit("gangs", gang(4, 33000), seconds(1));
    Stream stream = overload(service);
    service.run(seconds(5), std::ref(stream));
    const std::uint64_t next = service.submit("gangs", gang(3, 33000), seconds(1));
    service.run(seconds(10), std::ref(stream));
    BOOST_TEST(!service.hasStarted(blocked));
    BOOST_TEST(service.waitOf(next).count() < milliseconds(seconds(5)).count());
}

/// Both sides on the smallest service.
BOOST_AUTO_TEST_CASE(gangsAndSmallWorkShareOneUpstream)
{
    SimulatedService service(1, UpstreamCpuMillis);
    Stream stream(service, milliseconds(200), [&service] { return service.submit("work", support::step(2, 4000), seconds(2)); });
    Stream gangs(service, seconds(4), [&service] { return service.submit("gangs", gang(2, 30000), milliseconds(300)); });
    service.run(seconds(30), [&] {
        stream();
        gangs();
    });
    BOOST_TEST(gangs.longestWait().count() < milliseconds(seconds(5)).count());
    BOOST_TEST(stream.longestWait().count() < milliseconds(seconds(15)).count()); // Overloaded: 1.25 times what fits, less what the gangs take.
}

/// A run that takes many times its estimate never ends for the gang; what is behind the gang does not wait for it.
BOOST_AUTO_TEST_CASE(workRunsBehindAGangThatWaitsForAStuckRun)
{
    SimulatedService service(4, UpstreamCpuMillis);
    service.submit("work", support::step(1, 35000), std::chrono::hours(1), seconds(2));
    service.run(milliseconds(100));
    const std::uint64_t waiting = service.submit("gangs", gang(4, 33000), seconds(1));
    Stream small(service, milliseconds(500), [&service] { return service.submit("work", support::step(1, 2000), seconds(5)); });
    service.run(seconds(60), std::ref(small));
    BOOST_TEST(!service.hasStarted(waiting));
    BOOST_TEST(small.longestWait().count() < LossTime.count());
}

/// While a gang waits for a long run, short work that ends before it runs where the gang will run.
BOOST_AUTO_TEST_CASE(shortWorkRunsWhileAGangWaitsForALongRun)
{
    SimulatedService service(2, UpstreamCpuMillis);
    service.submit("work", support::step(2, 40000), seconds(20));
    service.run(milliseconds(100));
    const std::uint64_t waiting = service.submit("gangs", gang(2, 33000), seconds(1));
    Stream small(service, milliseconds(500), [&service] { return service.submit("work", support::step(2, 4000), milliseconds(500)); });
    service.run(seconds(15), std::ref(small));
    BOOST_TEST(small.longestWait().count() < milliseconds(500).count());
    service.run(seconds(10), std::ref(small));
    BOOST_TEST(service.hasStarted(waiting));
}

BOOST_AUTO_TEST_SUITE_END()
