#include "cell/health/SlowUpstreamDetector.h"

#include "cell/CellSamples.h"
#include "cell/health/SimulatedUpstreams.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Now = base::SteadyTime() + std::chrono::hours(1);

/// Two jobs of three tasks each, a task of about a second, and three upstreams.
struct RunningJobs {
    cell::CellState state;
    cell::RunTable runs;
    cell::health::SlowUpstreamDetector detector;

    RunningJobs()
    {
        this->state.apply(support::put(support::rules(1)));
        for (const std::string id : {"u1", "u2", "u3"}) {
            this->state.apply(support::announce(support::upstream(id, 64000)));
        }
        for (const std::string id : {"j", "k"}) {
            auto step = support::step(3, 1000);
            step->estimate_ms = 1000;
            this->state.apply(support::accept(support::job(id, std::move(step))));
        }
    }

    cell::TrackedRun &addRun(std::uint64_t job, std::uint32_t task, std::uint64_t upstream, milliseconds age, int percent)
    {
        this->state.apply(support::place(support::key(job, 0, task), 1, upstream));
        cell::TrackedRun track;
        track.key = {support::key(job, 0, task), 1};
        track.upstream = upstream;
        track.phase = cell::RunPhase::Confirmed;
        track.startedAt = Now - age;
        track.percent = percent;
        track.lastListedAt = Now;
        track.lastProgressAt = Now;
        return this->runs.add(track);
    }
};

} // namespace

/// Load pattern: some upstreams run everything 6.5 times slower, or stall.
BOOST_AUTO_TEST_SUITE(SlowUpstreamDetectorTest)

BOOST_AUTO_TEST_CASE(lateTasksOfTwoJobsShowASlowUpstream)
{
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(900));
    running.detector.recordCompletion({2, 0, 0}, milliseconds(1100));
    running.addRun(1, 0, 2, milliseconds(2600), 39);
    running.addRun(2, 0, 2, milliseconds(2600), 39);
    running.addRun(1, 1, 3, milliseconds(700), 70);
    const auto slow = running.detector.detect(running.state, running.runs, Now);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().upstream == 2U);
    BOOST_TEST(slow.front().runsToMove.size() == 2U);
}

BOOST_AUTO_TEST_CASE(oneLateTaskShowsNoSlowUpstream)
{
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(900));
    running.addRun(1, 0, 2, milliseconds(2600), 39);
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now).empty());
}

/// Guards against reporting healthy upstreams as slow after the leader itself was frozen for some seconds, when all its reports are old.
BOOST_AUTO_TEST_CASE(oldReportsAreIgnored)
{
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(900));
    running.detector.recordCompletion({2, 0, 0}, milliseconds(1100));
    running.addRun(1, 0, 2, milliseconds(6000), 39).lastListedAt = Now - milliseconds(5000);
    running.addRun(2, 0, 2, milliseconds(6000), 39).lastListedAt = Now - milliseconds(5000);
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now).empty());
}

BOOST_AUTO_TEST_CASE(aStalledTaskIsMoved)
{
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(900));
    running.addRun(1, 0, 2, milliseconds(3000), 10).lastProgressAt = Now - milliseconds(2000);
    const auto slow = running.detector.detect(running.state, running.runs, Now);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().runsToMove.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aNearlyFinishedTaskIsNotMoved)
{
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(900));
    running.detector.recordCompletion({2, 0, 0}, milliseconds(900));
    running.addRun(1, 0, 2, milliseconds(2600), 90);
    running.addRun(2, 0, 2, milliseconds(2600), 90);
    const auto slow = running.detector.detect(running.state, running.runs, Now);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().runsToMove.empty());
}

BOOST_AUTO_TEST_CASE(estimatesGetAWiderMarginThanDoneSiblings)
{
    RunningJobs running;
    running.addRun(1, 0, 2, milliseconds(3500), 20);
    running.addRun(2, 0, 2, milliseconds(3500), 20);
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now).empty());
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now + milliseconds(1000)).size() == 1U);
}

/// Guards against excluding upstreams of 0.7 of the mean speed because siblings ran at 1.7, and against overlooking those that are slow for themselves.
BOOST_AUTO_TEST_CASE(aTaskMayTakeLongerOnAnUpstreamThatIsUsuallySlower)
{
    std::vector<double> speeds(60, 0.7);
    for (std::size_t i = 2; i < speeds.size(); i += 3) {
        speeds[i] = 1.7;
    }
    support::SimulatedLoad load;
    load.tasksPerSecond = 100;
    support::SimulatedUpstreams simulated(std::move(speeds), load);
    simulated.run(std::chrono::seconds(6));
    BOOST_REQUIRE(simulated.speeds.isUneven());
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(600), simulated.speeds.usualSpeedOf(2));
    running.detector.recordCompletion({2, 0, 0}, milliseconds(600), simulated.speeds.usualSpeedOf(2));
    running.addRun(1, 1, 3, milliseconds(2000), 70);
    running.addRun(2, 1, 3, milliseconds(2000), 70);
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now).size() == 1U);
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now, &simulated.speeds).empty());
    for (auto &[key, track] : running.runs.all()) {
        track.startedAt = Now - milliseconds(5000);
    }
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now, &simulated.speeds).size() == 1U);
    BOOST_TEST(running.detector.detect(running.state, running.runs, Now).size() == 1U);
}

/// Guards against a change of today's behaviour where speeds are even, whatever the estimates.
BOOST_AUTO_TEST_CASE(evenSpeedsChangeNothing)
{
    support::SimulatedUpstreams simulated(std::vector<double>(60, 1.0), {});
    simulated.run(std::chrono::seconds(1));
    RunningJobs running;
    running.detector.recordCompletion({1, 0, 0}, milliseconds(900), 0.5);
    running.detector.recordCompletion({2, 0, 0}, milliseconds(1100), 0.5);
    running.addRun(1, 1, 2, milliseconds(2600), 39);
    running.addRun(2, 1, 2, milliseconds(2600), 39);
    const auto slow = running.detector.detect(running.state, running.runs, Now, &simulated.speeds);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().runsToMove.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
