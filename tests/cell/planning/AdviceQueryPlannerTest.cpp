#include "cell/PlannedCell.h"
#include "cell/planning/AdviceQueryOrder.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cranberryreel;
using cell::planning::AdviceQuery;
using cell::planning::Plan;
using support::PlannedCell;

namespace
{

/// Slow queries: 430 ms, and 6 ms for each upstream named.
std::unique_ptr<cell::wire::RulesT> rulesWithSlowAdvice()
{
    auto rules = support::rules(2);
    for (const auto &queue : rules->queues) {
        queue->advice = std::make_unique<cell::wire::AdviceT>();
        queue->advice->decision_us = 430000;
        queue->advice->per_upstream_us = 6000;
        queue->advice->valid_ms = 2000;
    }
    return rules;
}

std::unique_ptr<cell::wire::StepT> longStep(std::uint32_t tasks, std::uint32_t cpuMillis)
{
    auto step = support::step(tasks, cpuMillis);
    step->estimate_ms = 60000;
    return step;
}

std::size_t tasksQueriedFor(const Plan &plan)
{
    std::size_t tasks = 0;
    for (const AdviceQuery &query : plan.adviceQueries) {
        tasks += query.timing == cell::planning::QueryTiming::Immediate ? query.tasks : 0;
    }
    return tasks;
}

AdviceQuery makeQuery(const std::string &queue, std::uint64_t job)
{
    AdviceQuery query;
    query.queue = queue;
    query.step = {job, 0, 0};
    return query;
}

/// The upstreams named by a gang of four that has asked about three of `all` upstreams, of which the first `full` are full.
std::vector<std::uint64_t> namesOfASecondQuery(std::uint64_t all, std::uint32_t full)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlowAdvice()));
    for (std::uint64_t i = 1; i <= all; ++i) {
        auto accelerated = support::upstream("u" + std::to_string(i), 8000);
        accelerated->accelerators = 8;
        cell.addUpstream(std::move(accelerated));
    }
    auto filling = longStep(full, 4000);
    filling->accelerators = 8;
    cell.accept(support::job("fills", std::move(filling), "wide"));
    for (std::uint32_t i = 0; i < full; ++i) {
        cell.addRun({{1, 0, 0}, i}, i + 1);
    }
    auto gang = longStep(4, 4000);
    gang->gang = true;
    gang->accelerators = 8;
    const std::uint64_t job = cell.accept(support::job("j", std::move(gang), "wide"));
    cell.advice.adviceFor({job, 0, 0}).queried = {full + 1, full + 2, full + 3};
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.adviceQueries.size() == 1U);
    return plan.adviceQueries.front().upstreams;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdviceQueryPlannerTest)

/// Load pattern: a new leader without any tickets finds hundreds of steps waiting for the same capacity.
BOOST_AUTO_TEST_CASE(queriesForUnreservedCapacityComeFirst)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlowAdvice()));
    for (int i = 0; i < 50; ++i) {
        cell.addUpstream("u" + std::to_string(i), 4000);
    }
    for (int i = 0; i < 100; ++i) {
        cell.accept(support::job("j" + std::to_string(i), longStep(10, 2000), "wide"));
    }
    const Plan plan = cell.plan(); // 88 tasks fit beside the headroom; 1,000 wait.
    BOOST_TEST(tasksQueriedFor(plan) > 0U);
    BOOST_TEST(tasksQueriedFor(plan) <= 100U); // The queries for the others are prefetch queries.
    // Pending queries count as well.
    for (const AdviceQuery &query : plan.adviceQueries) {
        cell::StepAdvice &advice = cell.advice.adviceFor(query.step);
        advice.queryPending = true;
        advice.pendingUpstreams = query.upstreams;
        advice.pendingTasks = query.tasks;
    }
    BOOST_TEST(tasksQueriedFor(cell.plan()) == 0U);
}

BOOST_AUTO_TEST_CASE(aQueryNamesAsManyUpstreamsAsItsTasksNeed)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlowAdvice()));
    for (int i = 0; i < 90; ++i) {
        cell.addUpstream("u" + std::to_string(i), 8000);
    }
    cell.advice.allowRates.recordAnswer("wide", 2000, 1000);
    cell.accept(support::job("j", longStep(4, 4000), "wide"));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.adviceQueries.size() == 1U);
    // Two tasks fit on each upstream and half of the upstreams are allowed: four names, and more for a tenth of the fixed cost of the query.
    BOOST_TEST(plan.adviceQueries.front().upstreams.size() >= 4U);
    BOOST_TEST(plan.adviceQueries.front().upstreams.size() <= 12U);
}

/// Load pattern: the last step of a large job is a gang of 37 tasks of which two fit on an upstream, and a little fewer upstreams are allowed than the
/// term has learned to expect.
BOOST_AUTO_TEST_CASE(oneQuerySufficesForAWideGang)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlowAdvice()));
    for (int i = 0; i < 200; ++i) {
        cell.addUpstream("u" + std::to_string(i), 8000);
    }
    auto gang = longStep(37, 4000);
    gang->gang = true;
    cell.accept(support::job("j", std::move(gang), "wide"));
    const Plan first = cell.plan();
    BOOST_REQUIRE(first.adviceQueries.size() == 1U);
    std::set<std::uint64_t> allowed;
    for (const std::uint64_t upstream : first.adviceQueries.front().upstreams) {
        cell.advice.adviceFor({1, 0, 0}).queried.insert(upstream);
        if (allowed.size() * 8 < 3 * cell.advice.adviceFor({1, 0, 0}).queried.size()) {
            allowed.insert(upstream);
        }
    }
    cell.addTickets({1, 0, 0}, allowed);
    BOOST_TEST(cell.plan().starts.size() == 37U);
}

/// Failure: a gang that asked again about all upstreams named the fullest first.
BOOST_AUTO_TEST_CASE(aGangThatAsksAgainNamesUpstreamsWithFreeCapacityFirst)
{
    constexpr std::uint64_t All = 103;
    constexpr std::uint32_t Full = 63;
    const std::vector<std::uint64_t> named = namesOfASecondQuery(All, Full);
    BOOST_TEST(named.size() == 100U);
    BOOST_TEST(std::set<std::uint64_t>(named.begin(), named.end()).size() == named.size());
    const auto free = [](std::uint64_t upstream) { return upstream > Full; };
    BOOST_TEST(std::count_if(named.begin(), named.end(), free) == All - Full - 3);
    BOOST_TEST(std::is_partitioned(named.begin(), named.end(), free));
}

/// Failure: on a service with more upstreams than one call can name, gangs asked call after call about all of them, and other work waited for its advice.
BOOST_AUTO_TEST_CASE(aGangOnALargeServiceAsksAgainOnlyAboutWhatItNeeds)
{
    constexpr std::uint32_t Full = 120;
    const std::vector<std::uint64_t> named = namesOfASecondQuery(160, Full);
    BOOST_TEST(named.size() < 37U);
    BOOST_TEST(std::all_of(named.begin(), named.end(), [](std::uint64_t upstream) { return upstream > Full; }));
}

BOOST_AUTO_TEST_CASE(queriesOfOnePlanNameDifferentUpstreams)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlowAdvice()));
    for (int i = 0; i < 40; ++i) {
        cell.addUpstream("u" + std::to_string(i), 4000);
    }
    cell.advice.allowRates.recordAnswer("wide", 2000, 2000);
    cell.accept(support::job("one", longStep(6, 4000), "wide"));
    cell.accept(support::job("two", longStep(6, 4000), "wide"));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.adviceQueries.size() == 2U);
    const std::vector<std::uint64_t> &first = plan.adviceQueries[0].upstreams;
    BOOST_REQUIRE(plan.adviceQueries[1].upstreams.size() >= 6U);
    const auto needed = plan.adviceQueries[1].upstreams.begin() + 6; // The names behind them are upstreams that may get free capacity later.
    const auto shared = std::count_if(plan.adviceQueries[1].upstreams.begin(), needed, [&first](std::uint64_t upstream) {
        return std::find(first.begin(), first.end(), upstream) != first.end();
    });
    BOOST_TEST(shared == 0);
}

/// Load pattern: one service is full, another has free capacity.
BOOST_AUTO_TEST_CASE(aFullServiceDoesNotDelayOthers)
{
    PlannedCell cell;
    auto rules = support::rules(2);
    rules->queues.push_back(support::queue("vision", 1, 2));
    rules->queues.back()->service = "accelerated";
    cell.state.apply(support::put(std::move(rules)));
    auto large = support::upstream("large", 100000);
    large->service = "accelerated";
    cell.addUpstream(std::move(large));
    cell.addUpstream("small", 10000);
    auto lasting = support::step(1, 95000);
    cell.accept(support::job("fills", std::move(lasting), "vision"));
    cell.addRun(support::key(1, 0, 0), 1);
    cell.accept(support::job("wide", support::step(2, 4000), "wide"));
    BOOST_TEST(cell.plan().starts.size() == 2U);
    // No queue of priority 0 uses the other service, so it keeps no headroom.
    cell.accept(support::job("last", support::step(1, 5000), "vision"));
    BOOST_TEST(cell.plan().starts.size() == 3U);
    BOOST_TEST(cell.plan().loads.size() == 2U);
}

/// Load pattern: waiting gangs have queries that take a second each, beside short queries of another service.
BOOST_AUTO_TEST_CASE(queriesOfQueuesAlternate)
{
    std::vector<AdviceQuery> queries;
    for (std::uint64_t job = 1; job <= 30; ++job) {
        queries.push_back(makeQuery("gangs", job));
    }
    queries.push_back(makeQuery("wide", 31));
    queries.push_back(makeQuery("wide", 32));
    cell::planning::interleaveByQueue(queries, {}, {});
    BOOST_TEST(queries[0].step.job == 1U);
    BOOST_TEST(queries[1].step.job == 31U);
    BOOST_TEST(queries[2].step.job == 2U);
    BOOST_TEST(queries[3].step.job == 32U);
    BOOST_TEST(queries.size() == 32U);
    cell::planning::interleaveByQueue(queries, {{"gangs", 3}}, {});
    BOOST_TEST(queries[0].queue == "wide");
    BOOST_TEST(queries[1].queue == "wide");
}

/// Failure: where one slow query is sent at a time, a queue with a lasting backlog was served alone, and later ones never.
BOOST_AUTO_TEST_CASE(aQueueThatHasWaitedTooLongComesFirst)
{
    std::vector<AdviceQuery> queries = {makeQuery("gangs", 1), makeQuery("gangs", 2), makeQuery("wide", 3), makeQuery("wide", 4)};
    cell::planning::interleaveByQueue(queries, {}, {{"wide", std::chrono::milliseconds(1500)}});
    BOOST_TEST(queries[0].step.job == 3U);
    BOOST_TEST(queries[1].step.job == 1U);
    BOOST_TEST(queries[2].step.job == 2U);
}

BOOST_AUTO_TEST_CASE(prefetchQueriesComeLast)
{
    std::vector<AdviceQuery> queries = {makeQuery("wide", 1), makeQuery("wide", 2), makeQuery("gangs", 3)};
    queries.front().timing = cell::planning::QueryTiming::Prefetch;
    cell::planning::interleaveByQueue(queries, {}, {});
    BOOST_TEST(queries.back().step.job == 1U);
}

BOOST_AUTO_TEST_CASE(allowRatesAreLearnedFromAnswers)
{
    cell::AdviceAllowRates rates;
    BOOST_TEST(rates.rateFor("q") == 0.4);
    for (int i = 0; i < 1000; ++i) {
        rates.recordAnswer("q", 10, 1);
    }
    BOOST_TEST(rates.rateFor("q") < 0.12);
    for (int i = 0; i < 1000; ++i) {
        rates.recordAnswer("q", 10, 9);
    }
    BOOST_TEST(rates.rateFor("q") > 0.85);
    BOOST_TEST(rates.rateFor("other") == 0.4);
}

BOOST_AUTO_TEST_SUITE_END()
