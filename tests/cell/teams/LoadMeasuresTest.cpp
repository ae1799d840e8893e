#include "cell/teams/ArrivalRates.h"
#include "cell/teams/FreedCapacity.h"
#include "cell/teams/LoadCollector.h"
#include "cell/teams/ServiceRates.h"

#include "cell/PlannedCell.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::teams::Amounts;
using cell::teams::ArrivalRates;
using cell::teams::FreedCapacity;
using std::chrono::milliseconds;

namespace
{

cell::teams::LoadSnapshot collect(const support::PlannedCell &cell)
{
    cell::RunTable runs;
    const cell::teams::ServiceRates rates;
    const ArrivalRates arrivals;
    return cell::teams::LoadCollector({cell.state, cell.trackers, runs, rates, arrivals, cell.acceptedAt, cell.now}).collect();
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadMeasuresTest)

/// Failure: work was predicted to start before the capacity that it needs is free, or later than list scheduling starts it.
BOOST_AUTO_TEST_CASE(workStartsAsRunsEnd)
{
    FreedCapacity::Builder builder;
    builder.setCapacity(Amounts(cell::planning::Capacity{2000, 0, 0}));
    builder.addRun(Amounts(*support::step(1, 1000)), milliseconds(500));
    builder.addRun(Amounts(*support::step(1, 1000)), milliseconds(900));
    const FreedCapacity capacity = builder.build();
    const auto startOf = [&capacity](double work) { return capacity.earliestStart(0, {work, milliseconds(1000), 0, milliseconds(0)}); };
    BOOST_TEST((startOf(0) == milliseconds(0)));
    BOOST_TEST((startOf(1000e3) == milliseconds(500)));
    BOOST_TEST((startOf(2000e3) == milliseconds(900)));
    BOOST_TEST((startOf(12000e3) > milliseconds(5000) && startOf(12000e3) < milliseconds(7000)));
    BOOST_TEST((capacity.earliestStart(0, {2000e3, milliseconds(1000), 3000, milliseconds(0)}) == FreedCapacity::Horizon));
}

/// Load: a burst in which more work arrives than the service can take. Failure: a job that could start at once was predicted to start after an hour.
BOOST_AUTO_TEST_CASE(aStartBeforeTheArrivalsOutgrowTheCapacityIsFound)
{
    FreedCapacity::Builder builder;
    builder.setCapacity(Amounts(cell::planning::Capacity{1000, 0, 0}));
    builder.addRun(Amounts(*support::step(1, 900)), milliseconds(4000));
    const FreedCapacity capacity = builder.build();
    BOOST_TEST((capacity.earliestStart(0, {10e3, milliseconds(1000), 1001, milliseconds(0)}) == milliseconds(0)));
    BOOST_TEST((capacity.earliestStart(0, {200e3, milliseconds(1000), 300, milliseconds(3900)}) == milliseconds(1500)));
}

/// Failure: a job of a filler step was rejected by an estimate that does not say how long the step uses capacity.
BOOST_AUTO_TEST_CASE(fillerStepsHaveNoPredictedEnd)
{
    auto spec = support::job("j", support::step(4, 1000));
    BOOST_TEST(cell::teams::Submission::of(*spec, *support::queue("quick", 0, 3)).has_value());
    spec->steps[0]->filler = true;
    BOOST_TEST(!cell::teams::Submission::of(*spec, *support::queue("quick", 0, 3)).has_value());
}

/// Load: estimates that are twice too long. Failure: capacity was taken to come free at half its real rate, and work was rejected.
BOOST_AUTO_TEST_CASE(theRateFollowsTheDurationsOfDoneTasks)
{
    cell::teams::ServiceRates rates;
    BOOST_TEST(rates.rateOf("workers") == 1.0);
    rates.recordCompletion("workers", milliseconds(0), milliseconds(5000));
    BOOST_TEST(rates.rateOf("workers") == 1.0);
    for (int i = 0; i < 400; ++i) {
        rates.recordCompletion("workers", milliseconds(1000), milliseconds(500));
    }
    BOOST_TEST((rates.rateOf("workers") > 1.8 && rates.rateOf("workers") <= 2.0));
}

/// Load: a burst of 2.3 times the usual rate for 4 s. Failure: it was taken for the usual load, and after it work was rejected that could be served.
BOOST_AUTO_TEST_CASE(aBurstIsNotTakenForTheUsualLoad)
{
    ArrivalRates rates;
    Amounts work;
    work.values[0] = 10;
    base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1);
    const auto send = [&](milliseconds length, milliseconds interval) {
        for (const base::SteadyTime end = now + length; now < end; now += interval) {
            rates.record("workers", 1, work, now);
        }
    };
    send(milliseconds(60000), milliseconds(10));
    BOOST_TEST((rates.ratesOf("workers", now)[1][0] > 0.9 && rates.ratesOf("workers", now)[1][0] < 1.1));
    send(milliseconds(4000), milliseconds(4));
    BOOST_TEST(rates.ratesOf("workers", now)[1][0] < 1.4);
    BOOST_TEST(rates.ratesOf("workers", now + milliseconds(5000))[1][0] < 0.1);
    BOOST_TEST(rates.ratesOf("others", now).empty());
}

/// Failure: the load left out the tasks that run or wait, or counted capacity that is in use by lasting work as coming free.
BOOST_AUTO_TEST_CASE(theLoadFollowsFromTheState)
{
    support::PlannedCell cell;
    auto rules = support::rules(2);
    rules->teams.push_back(std::make_unique<cell::wire::TeamT>());
    rules->teams[0]->name = "a";
    rules->teams[0]->weight = 4;
    rules->teams[0]->cpu_millis = 2000;
    cell.state.apply(support::put(std::move(rules)));
    cell.addUpstream("u1", 4000);
    auto step = support::step(3, 1000);
    step->estimate_ms = 800;
    auto spec = support::job("j", std::move(step));
    spec->team = "a";
    const std::uint64_t number = cell.accept(std::move(spec));
    cell.addRun(support::key(number, 0, 0), cell.state.upstreamNamed("u1")->number);
    auto lasting = support::step(1, 1000);
    lasting->lasting = true;
    const std::uint64_t other = cell.accept(support::job("l", std::move(lasting)));
    cell.addRun(support::key(other, 0, 0), cell.state.upstreamNamed("u1")->number);
    const cell::teams::LoadSnapshot load = collect(cell);
    const FreedCapacity &capacity = load.services.at("workers").capacity;
    BOOST_TEST((capacity.total(0) == 4000 && capacity.free(0) == 2000));
    BOOST_TEST((capacity.earliestStart(0, {3200e3, milliseconds(800), 0, milliseconds(0)}) >= milliseconds(800)));
    BOOST_TEST((load.teams.at("a").quota.free(0) == 1000 && load.weightOf("a") == 4 && load.weightOf("gone") == 4));
    BOOST_REQUIRE(load.waiting.size() == 1U);
    BOOST_TEST((load.waiting[0].team == "a" && load.waiting[0].tasks == 2 && load.waiting[0].work[0] == 1600e3));
}

/// Load: a new leader with a backlog, which has read back few upstreams. Failure: it compared the backlog with those few and rejected everything.
BOOST_AUTO_TEST_CASE(upstreamsThatANewLeaderHasNotReadBackCount)
{
    support::PlannedCell cell;
    cell.addUpstream("u1", 4000);
    cell.addUpstream("u2", 4000);
    cell.trackers.at(cell.state.upstreamNamed("u1")->number).readBack = false;
    cell.trackers.at(cell.state.upstreamNamed("u2")->number).silentCalls = 1;
    BOOST_TEST(collect(cell).services.at("workers").capacity.total(0) == 8000);
    cell.trackers.at(cell.state.upstreamNamed("u2")->number).excludedUntil = cell.now + milliseconds(1);
    BOOST_TEST(collect(cell).services.at("workers").capacity.total(0) == 4000);
}

BOOST_AUTO_TEST_SUITE_END()
