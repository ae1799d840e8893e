#include "cell/planning/Planner.h"

#include "cell/PlannedCell.h"
#include "support/Seed.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cranberryreel;
using cell::planning::Plan;
using cell::wire::EndKind;
using support::PlannedCell;

namespace
{

const base::SteadyTime Now = support::PlannedCell().now;

std::unique_ptr<cell::wire::RulesT> rulesWithAdvice()
{
    auto rules = support::rules(2);
    rules->queues.front()->advice = std::make_unique<cell::wire::AdviceT>();
    rules->queues.front()->advice->decision_us = 30000;
    rules->queues.front()->advice->per_upstream_us = 430;
    rules->queues.front()->advice->valid_ms = 2500;
    return rules;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannerTest)

BOOST_AUTO_TEST_CASE(stepsStartAfterTheirPredecessors)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    std::vector<std::unique_ptr<cell::wire::StepT>> steps;
    steps.push_back(support::step(2, 1000));
    steps.push_back(support::step(1, 1000));
    steps.back()->after = {0};
    cell.state.apply(support::accept(support::job("j", std::move(steps))));
    BOOST_TEST(cell.plan().starts.size() == 2U);
    cell.state.apply(support::place(support::key(1, 0, 0), 1, 1));
    cell.state.apply(support::place(support::key(1, 0, 1), 1, 1));
    cell.state.apply(support::end(support::key(1, 0, 0), 1, 1, EndKind::Done));
    BOOST_TEST(cell.plan().starts.empty());
    cell.state.apply(support::end(support::key(1, 0, 1), 1, 1, EndKind::Done));
    BOOST_TEST(cell.plan().starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(wideWorkLeavesHeadroomForUrgentWork)
{
    PlannedCell cell;
    cell.addUpstream("u1", 10000);
    cell.state.apply(support::accept(support::job("w", support::step(20, 1000), "wide")));
    BOOST_TEST(cell.plan().starts.size() == 8U); // 12% of ten cores stay free.
    cell.state.apply(support::accept(support::job("q", support::step(20, 1000))));
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.size() == 10U);
    BOOST_TEST(plan.starts.front().task.step.job == 2U);
}

BOOST_AUTO_TEST_CASE(allTasksOfAGangStartOrNone)
{
    PlannedCell cell;
    cell.addUpstream("u1", 2000);
    cell.addUpstream("u2", 2000);
    auto gang = support::step(5, 1000);
    gang->gang = true;
    cell.state.apply(support::accept(support::job("g", std::move(gang))));
    cell.state.apply(support::accept(support::job("q", support::step(4, 1000))));
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.size() == 4U); // Capacity that the gang cannot use is not reserved for it.
    BOOST_TEST(plan.starts.front().task.step.job == 2U);
}

BOOST_AUTO_TEST_CASE(tasksOfAGangShareTheAttemptNumber)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    auto gang = support::step(2, 1000);
    gang->gang = true;
    cell.state.apply(support::accept(support::job("g", std::move(gang))));
    cell.state.apply(support::place(support::key(1, 0, 0), 3, 1));
    BOOST_TEST(cell.plan().starts.empty()); // A task of the gang may still run.
    cell.state.apply(support::end(support::key(1, 0, 0), 3, 1, EndKind::Broken));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.starts.size() == 2U);
    BOOST_TEST(plan.starts[0].attempt == 4U);
    BOOST_TEST(plan.starts[1].attempt == 4U);
}

BOOST_AUTO_TEST_CASE(withoutTicketsNothingStartsAndAnAdviceQueryIsPlanned)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    cell.addUpstream("u2", 8000);
    cell.state.apply(support::put(rulesWithAdvice()));
    cell.state.apply(support::accept(support::job("j", support::step(2, 1000))));
    const Plan first = cell.plan();
    BOOST_TEST(first.starts.empty());
    BOOST_REQUIRE(first.adviceQueries.size() == 1U);
    BOOST_TEST(first.adviceQueries.front().upstreams.size() == 2U);
    BOOST_TEST(first.adviceQueries.front().quick);
    cell::StepAdvice &advice = cell.advice.adviceFor({1, 0, 0});
    advice.queried = {1, 2};
    advice.allowed[2] = {"ticket", Now + std::chrono::seconds(2), cell.trackers.at(2).incarnation, Now + std::chrono::seconds(2)};
    const Plan second = cell.plan();
    BOOST_REQUIRE(second.starts.size() == 2U);
    BOOST_TEST(second.starts.front().upstream == 2U);
    advice.allowed[2].placeUntil = Now; // Expired: only the allowed upstream is queried again.
    const Plan third = cell.plan();
    BOOST_TEST(third.starts.empty());
    BOOST_REQUIRE(third.adviceQueries.size() == 1U);
    BOOST_TEST(third.adviceQueries.front().upstreams == std::vector<std::uint64_t>{2}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ticketsOfAnEarlierIncarnationAreNotUsed)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    cell.state.apply(support::put(rulesWithAdvice()));
    cell.state.apply(support::accept(support::job("j", support::step(1, 1000))));
    cell.advice.adviceFor({1, 0, 0}).allowed[1] = {"ticket", Now + std::chrono::seconds(2), cell.trackers.at(1).incarnation, Now + std::chrono::seconds(2)};
    BOOST_TEST(cell.plan().starts.size() == 1U);
    cell.trackers.at(1).beginIncarnation(2, Now);
    cell.trackers.at(1).readBack = true;
    BOOST_TEST(cell.plan().starts.empty());
}

BOOST_AUTO_TEST_CASE(fillersDoNotShareUpstreamsWithServingTasks)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    auto serving = support::step(1, 1000);
    serving->lasting = true;
    serving->tail_target_ms = 100;
    cell.state.apply(support::accept(support::job("s", std::move(serving))));
    cell.state.apply(support::place(support::key(1, 0, 0), 1, 1));
    auto filler = support::step(1, 1000);
    filler->filler = true;
    cell.state.apply(support::accept(support::job("f", std::move(filler))));
    BOOST_TEST(cell.plan().starts.empty());
    cell.addUpstream("u2", 8000);
    BOOST_REQUIRE(cell.plan().starts.size() == 1U);
    BOOST_TEST(cell.plan().starts.front().upstream == 2U);
}

BOOST_AUTO_TEST_CASE(drainingSilentExcludedAndUnreadUpstreamsGetNoWork)
{
    const std::vector<std::function<void(PlannedCell &)>> changes = {
        [](PlannedCell &cell) { cell.trackers.at(1).readBack = false; },
        [](PlannedCell &cell) { cell.trackers.at(1).silentCalls = 1; },
        [](PlannedCell &cell) { cell.trackers.at(1).exclude(Now, std::chrono::milliseconds(1)); },
        [](PlannedCell &cell) {
            auto draining = support::upstream("u1", 8000);
            draining->draining = true;
            cell.state.apply(support::announce(std::move(draining)));
        },
    };
    for (const auto &change : changes) {
        PlannedCell cell;
        cell.addUpstream("u1", 8000);
        cell.state.apply(support::accept(support::job("j", support::step(1, 1000))));
        BOOST_TEST(cell.plan().starts.size() == 1U);
        change(cell);
        BOOST_TEST(cell.plan().starts.empty());
    }
}

BOOST_AUTO_TEST_CASE(aFailedTaskStartsOnAnotherUpstream)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    cell.addUpstream("u2", 9000);
    cell.state.apply(support::accept(support::job("j", support::step(1, 1000))));
    BOOST_TEST(cell.plan().starts.front().upstream == 1U);
    cell.failedUpstreams[support::key(1, 0, 0)] = {1};
    BOOST_TEST(cell.plan().starts.front().upstream == 2U);
}

/// Guards against a zone that is cut off delaying jobs of other zones, whose tasks run in it.
BOOST_AUTO_TEST_CASE(aJobStaysInItsSubmittersZoneWhileCapacityIsFree)
{
    PlannedCell cell;
    for (int i = 0; i < 6; ++i) {
        auto upstream = support::upstream("u" + std::to_string(i), 2000);
        upstream->zone = i % 2 == 0 ? "even" : "odd";
        cell.addUpstream(std::move(upstream));
    }
    auto job = support::job("j", support::step(7, 1000));
    job->zone = "odd";
    cell.state.apply(support::accept(std::move(job)));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.starts.size() == 7U);
    for (std::size_t i = 0; i < 6; ++i) {
        BOOST_TEST(cell.state.upstreams().at(plan.starts[i].upstream).zone == "odd");
    }
    BOOST_TEST(cell.state.upstreams().at(plan.starts[6].upstream).zone == "even");
}

/// Load pattern: many jobs of all sizes at once, beyond the free capacity.
BOOST_AUTO_TEST_CASE(noPlanExceedsCapacityOrTheLimitPerUpstream)
{
    std::mt19937_64 random(support::testSeed());
    for (int round = 0; round < 200; ++round) {
        PlannedCell cell;
        for (int i = 0; i < 6; ++i) {
            cell.addUpstream("u" + std::to_string(i), 1000 * (4 + random() % 30));
        }
        for (int i = 0; i < 12; ++i) {
            auto step = support::step(1 + random() % 20, 500 * (1 + random() % 20));
            step->gang = random() % 5 == 0;
            step->per_upstream = random() % 3;
            step->filler = random() % 6 == 0;
            cell.state.apply(support::accept(support::job("j" + std::to_string(i), std::move(step), random() % 2 == 0 ? "quick" : "wide")));
        }
        std::map<std::uint64_t, std::uint64_t> used;
        std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> tasksOnUpstream;
        std::map<std::uint64_t, std::uint32_t> started;
        for (const cell::planning::PlannedStart &start : cell.plan().starts) {
            const cell::wire::StepT &step = *cell.state.job(start.task.step.job)->spec->steps[0];
            used[start.upstream] += step.cpu_millis;
            const std::uint32_t sameUpstream = ++tasksOnUpstream[{start.task.step.job, start.upstream}];
            BOOST_TEST((step.per_upstream == 0 || sameUpstream <= step.per_upstream));
            ++started[start.task.step.job];
        }
        for (const auto &[upstream, cpu] : used) {
            BOOST_TEST(cpu <= cell.state.upstreams().at(upstream).cpu_millis);
        }
        for (const auto &[job, tasks] : started) {
            const cell::wire::StepT &step = *cell.state.job(job)->spec->steps[0];
            BOOST_TEST((!step.gang || tasks == step.tasks));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
