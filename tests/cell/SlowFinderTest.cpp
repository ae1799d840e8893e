#include "cell/SlowFinder.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Now = base::SteadyTime() + std::chrono::hours(1);

/// Two jobs of three tasks of about a second each on upstreams 1 to 3.
struct Running {
    cell::CellState state;
    cell::RunTable runs;
    cell::SlowFinder finder;

    Running()
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

    cell::TrackedRun &run(std::uint64_t job, std::uint32_t task, std::uint64_t upstream, milliseconds age, int percent)
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

/// Load pattern: some upstreams run everything 6.5 times slower, or let it stand still.
BOOST_AUTO_TEST_SUITE(SlowFinderTest)

BOOST_AUTO_TEST_CASE(lateTasksOfTwoJobsTellOfTheirUpstream)
{
    Running running;
    running.finder.done({1, 0, 0}, milliseconds(900));
    running.finder.done({2, 0, 0}, milliseconds(1100));
    running.run(1, 0, 2, milliseconds(2600), 39);
    running.run(2, 0, 2, milliseconds(2600), 39);
    running.run(1, 1, 3, milliseconds(700), 70);
    const auto slow = running.finder.find(running.state, running.runs, Now);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().upstream == 2U);
    BOOST_TEST(slow.front().toMove.size() == 2U);
}

BOOST_AUTO_TEST_CASE(oneLongTaskSaysNothingOfItsUpstream)
{
    Running running;
    running.finder.done({1, 0, 0}, milliseconds(900));
    running.run(1, 0, 2, milliseconds(2600), 39);
    BOOST_TEST(running.finder.find(running.state, running.runs, Now).empty());
}

/// Load pattern: the leader itself is frozen for some seconds and wakes.
BOOST_AUTO_TEST_CASE(whatWasSeenLongAgoTellsNothing)
{
    Running running;
    running.finder.done({1, 0, 0}, milliseconds(900));
    running.finder.done({2, 0, 0}, milliseconds(1100));
    running.run(1, 0, 2, milliseconds(6000), 39).lastListedAt = Now - milliseconds(5000);
    running.run(2, 0, 2, milliseconds(6000), 39).lastListedAt = Now - milliseconds(5000);
    BOOST_TEST(running.finder.find(running.state, running.runs, Now).empty());
}

BOOST_AUTO_TEST_CASE(aTaskThatStandsStillIsMoved)
{
    Running running;
    running.finder.done({1, 0, 0}, milliseconds(900));
    running.run(1, 0, 2, milliseconds(3000), 10).lastProgressAt = Now - milliseconds(2000);
    const auto slow = running.finder.find(running.state, running.runs, Now);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().toMove.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aTaskThatIsNearlyDoneStays)
{
    Running running;
    running.finder.done({1, 0, 0}, milliseconds(900));
    running.finder.done({2, 0, 0}, milliseconds(900));
    running.run(1, 0, 2, milliseconds(2600), 90);
    running.run(2, 0, 2, milliseconds(2600), 90);
    const auto slow = running.finder.find(running.state, running.runs, Now);
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().toMove.empty());
}

BOOST_AUTO_TEST_CASE(withoutSiblingsTheEstimateCountsForLittle)
{
    Running running;
    running.run(1, 0, 2, milliseconds(3500), 20);
    running.run(2, 0, 2, milliseconds(3500), 20);
    BOOST_TEST(running.finder.find(running.state, running.runs, Now).empty());
    BOOST_TEST(running.finder.find(running.state, running.runs, Now + milliseconds(1000)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
