#include "cell/PlannedCell.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cranberryreel;
using cell::planning::Plan;
using support::PlannedCell;
using namespace std::chrono_literals;

namespace
{

constexpr double Slow = 0.7;
constexpr double Fast = 1.7;

/// Upstreams of ten cores, of which each third is fast (numbers 3, 6, ...). Jobs of the queue "quick" are urgent, those of "wide" have slack.
struct UnevenCell : PlannedCell {
    explicit UnevenCell(std::uint64_t upstreams)
    {
        this->considersSpeed = true;
        auto rules = support::rules(2);
        rules->queues[0]->slack = 1.5;
        rules->queues[0]->target_latency_ms = 250;
        rules->queues[1]->slack = 2.2;
        rules->queues[1]->target_latency_ms = 1200;
        this->state.apply(support::put(std::move(rules)));
        for (std::uint64_t i = 1; i <= upstreams; ++i) {
            this->addUpstream("u" + std::to_string(i), 10000);
            this->speeds.byUpstream[i] = i % 3 == 0 ? Fast : Slow;
        }
    }

    std::uint64_t addJob(const std::string &queue, std::uint32_t tasks, std::uint32_t cpuMillis, std::uint32_t estimateMs)
    {
        auto step = support::step(tasks, cpuMillis);
        step->estimate_ms = estimateMs;
        return this->accept(support::job("j" + std::to_string(this->acceptedAt.size() + 1), std::move(step), queue));
    }

    std::size_t startsOnFast(const Plan &plan) const
    {
        return static_cast<std::size_t>(
            std::count_if(plan.starts.begin(), plan.starts.end(), [this](const auto &start) { return this->speeds.byUpstream.at(start.upstream) == Fast; }));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementBySpeedTest)

/// Guards against urgent tasks of 0.54 s on upstreams of speed 0.7, where they miss an objective of 1.5 times their run time.
BOOST_AUTO_TEST_CASE(urgentWorkStartsOnFastUpstreamsAndFillsSlowOnesOnlyThen)
{
    UnevenCell cell(9);
    cell.addJob("quick", 20, 1000, 540);
    Plan plan = cell.plan();
    BOOST_TEST(cell.startsOnFast(plan) == 20U);
    cell.addJob("quick", 20, 1000, 540);
    plan = cell.plan();
    BOOST_TEST(plan.starts.size() == 40U);
    BOOST_TEST(cell.startsOnFast(plan) == 30U);
}

/// Guards against wide work of 3.2 s, with seconds to spare, in the way of urgent work on fast upstreams.
BOOST_AUTO_TEST_CASE(workWithSlackStartsOnSlowUpstreamsUntilItsSlackIsSpent)
{
    UnevenCell cell(9);
    const std::uint64_t job = cell.addJob("wide", 10, 1000, 3200);
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 0U);
    cell.acceptedAt[job] = cell.now - 4s; // 1.04 s are left, and a slow run takes 1.37 s longer.
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 10U);
    cell.acceptedAt[job] = cell.now - 6s; // Late.
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 10U);
    cell.acceptedAt[job] = cell.now - 60s; // Worth nothing any more.
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 0U);
}

BOOST_AUTO_TEST_CASE(longRunningWorkStartsOnSlowUpstreams)
{
    UnevenCell cell(9);
    auto lasting = support::step(10, 1000);
    lasting->lasting = true;
    cell.accept(support::job("l", std::move(lasting), "wide"));
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.size() == 10U);
    BOOST_TEST(cell.startsOnFast(plan) == 0U);
}

/// Guards against a herd on the single fastest upstream, and against an upstream whose tasks all fail at once: it is always free.
BOOST_AUTO_TEST_CASE(withinAClassZoneAndFailuresDecide)
{
    UnevenCell cell(6);
    cell.speeds.byUpstream[6] = Fast * 1.1;
    auto job = support::job("j", support::step(4, 1000));
    job->zone = "z";
    cell.accept(std::move(job));
    cell.trackers.at(6).failuresInRow = 1;
    const auto allOn = [&cell](std::uint64_t upstream) {
        const Plan plan = cell.plan();
        return plan.starts.size() == 4
            && std::all_of(plan.starts.begin(), plan.starts.end(), [upstream](const auto &start) { return start.upstream == upstream; });
    };
    BOOST_TEST(allOn(3));
    cell.trackers.at(3).failuresInRow = 3;
    BOOST_TEST(allOn(6));
    cell.trackers.at(6).failuresInRow = 3;
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 0U);
}

/// Guards against a slow upstream of a few seconds, at a tenth of its speed, that attracts all work with slack.
BOOST_AUTO_TEST_CASE(aStalledUpstreamIsTheLastChoiceOfAllWork)
{
    UnevenCell cell(9);
    cell.speeds.byUpstream[1] = 0.05;
    cell.addJob("quick", 1, 1000, 540);
    cell.addJob("wide", 1, 1000, 3200);
    auto lasting = support::step(1, 1000);
    lasting->lasting = true;
    cell.accept(support::job("l", std::move(lasting), "wide"));
    for (const auto &start : cell.plan().starts) {
        BOOST_TEST(start.upstream != 1U);
    }
}

/// Guards against wide work that fills the fast upstreams between two bursts of urgent work.
BOOST_AUTO_TEST_CASE(otherWorkLeavesWhatUrgentWorkUsedOfLateFreeOnFastUpstreams)
{
    UnevenCell cell(3);
    const std::uint64_t burst = cell.addJob("quick", 6, 1000, 540);
    for (std::uint32_t task = 0; task < 6; ++task) {
        cell.addRun(support::key(burst, 0, task), 3);
    }
    cell.plan(); // Observes six cores.
    for (std::uint32_t task = 0; task < 6; ++task) {
        cell.state.apply(support::end(support::key(burst, 0, task), 1, 3, cell::wire::EndKind::Done));
    }
    const std::uint64_t wide = cell.addJob("wide", 40, 1000, 3200);
    cell.acceptedAt[wide] = cell.now - 6s; // Late, so it prefers fast upstreams, and gets them while half of the service is free.
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 10U);
    auto lasting = support::step(16, 1000);
    lasting->lasting = true;
    const std::uint64_t running = cell.accept(support::job("l", std::move(lasting), "wide"));
    for (std::uint32_t task = 0; task < 16; ++task) {
        cell.addRun(support::key(running, 0, task), 1 + task % 2);
    }
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.size() == 8U);
    BOOST_TEST(cell.startsOnFast(plan) == 4U);
    cell.acceptedAt[wide] += 20s;
    BOOST_TEST(cell.startsOnFast(cell.plan(cell.now + 20s)) == 7U); // The observed peak halves in 20 s.
}

/// Guards against a fast upstream off the rack of the data, where a task takes up to three times as long, counting as fast.
BOOST_AUTO_TEST_CASE(speedCountsLessOffTheRack)
{
    UnevenCell cell(2);
    auto offRack = support::upstream("u3", 10000);
    offRack->labels = {"a", "rack-2"};
    cell.addUpstream(std::move(offRack));
    cell.speeds.byUpstream[3] = Fast;
    auto step = support::step(4, 1000);
    step->data_rack = "rack-1";
    step->estimate_ms = 540;
    cell.accept(support::job("j", std::move(step)));
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 4U); // 1.13 against 0.7.
    cell.farRackFactor = 3;
    BOOST_TEST(cell.startsOnFast(cell.plan()) == 0U); // 0.57 against 0.7.
}

/// Guards against a gang that holds fast upstreams and ends with its member on a slow one.
BOOST_AUTO_TEST_CASE(aGangGetsUpstreamsOfSimilarSpeed)
{
    const auto startsOfGang = [](std::uint32_t tasks) {
        UnevenCell cell(9);
        auto gang = support::step(tasks, 8000);
        gang->gang = true;
        gang->estimate_ms = 3000;
        cell.accept(support::job("g", std::move(gang)));
        const Plan plan = cell.plan();
        return std::make_pair(cell.startsOnFast(plan), plan.starts.size());
    };
    BOOST_TEST((startsOfGang(3) == std::make_pair(std::size_t{3}, std::size_t{3})));
    BOOST_TEST((startsOfGang(4) == std::make_pair(std::size_t{0}, std::size_t{4}))); // Three fast ones do not hold it.
    BOOST_TEST((startsOfGang(8) == std::make_pair(std::size_t{3}, std::size_t{8}))); // Neither class holds it.
}

/// Guards against tickets for upstreams on which the step would not start: each name costs time of the advice service.
BOOST_AUTO_TEST_CASE(adviceQueriesNameUpstreamsOfSuitableSpeed)
{
    UnevenCell cell(60);
    auto rules = support::rules(3);
    for (const auto &queue : rules->queues) {
        queue->slack = 2.2;
        queue->target_latency_ms = 1200;
        queue->advice = std::make_unique<cell::wire::AdviceT>();
        queue->advice->decision_us = 26000;
        queue->advice->per_upstream_us = 360;
        queue->advice->valid_ms = 2500;
    }
    cell.state.apply(support::put(std::move(rules)));
    cell.addJob("quick", 10, 4000, 540);
    cell.addJob("wide", 10, 4000, 3200);
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.adviceQueries.size() == 2U);
    for (const auto &query : plan.adviceQueries) {
        const bool urgent = query.step.job == 1;
        BOOST_TEST(std::all_of(
            query.upstreams.begin(), query.upstreams.end(), [&](std::uint64_t upstream) { return (cell.speeds.byUpstream.at(upstream) == Fast) == urgent; }));
    }
}

/// Guards against urgent tasks that miss their objective on free slow upstreams although fast ones become free within a tenth of a second.
BOOST_AUTO_TEST_CASE(anUrgentStepWaitsForFastUpstreamsThatBecomeFreeSoon)
{
    UnevenCell cell(3);
    const std::uint64_t running = cell.addJob("quick", 10, 1000, 540);
    for (std::uint32_t task = 0; task < 10; ++task) {
        cell.addRun(support::key(running, 0, task), 3, 80);
        cell.runViews[{support::key(running, 0, task), 1}].elapsed = 240ms; // 60 ms are left.
    }
    const std::uint64_t waiting = cell.addJob("quick", 4, 1000, 540);
    BOOST_TEST(cell.plan().starts.size() == 4U); // A slow run takes 771 ms of 1,060 ms.
    cell.acceptedAt[waiting] = cell.now - 400ms;
    BOOST_TEST(cell.plan().starts.empty());
    cell.acceptedAt[waiting] = cell.now - 700ms; // Also late on a fast one.
    BOOST_TEST(cell.plan().starts.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
