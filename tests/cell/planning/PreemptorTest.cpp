#include "cell/PlannedCell.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace cranberryreel;
using cell::planning::Plan;
using support::PlannedCell;

namespace
{

constexpr std::uint32_t LongEstimate = 5000; // Milliseconds.

std::unique_ptr<cell::wire::StepT> savingStep(std::uint32_t tasks, std::uint32_t cpuMillis)
{
    auto step = support::step(tasks, cpuMillis);
    step->saves_progress = true;
    step->estimate_ms = LongEstimate;
    return step;
}

std::unique_ptr<cell::wire::StepT> gangOf(std::uint32_t tasks, std::uint32_t cpuMillis)
{
    auto step = support::step(tasks, cpuMillis);
    step->gang = true;
    return step;
}

std::unique_ptr<cell::wire::RulesT> rulesWithSlack()
{
    auto rules = support::rules(2);
    for (const auto &queue : rules->queues) {
        queue->slack = 4;
        queue->target_latency_ms = 1000;
    }
    return rules;
}

/// One upstream, filled by two preemptible tasks of a wide job, unless `change` alters their step.
struct FullCell : PlannedCell {
    explicit FullCell(const std::function<void(cell::wire::StepT &)> &change = [](cell::wire::StepT &) {})
    {
        this->state.apply(support::put(rulesWithSlack()));
        this->addUpstream("u1", 4000);
        auto step = savingStep(2, 2000);
        change(*step);
        this->accept(support::job("wide", std::move(step), "wide"));
        this->addRun(support::key(1, 0, 0), 1);
        this->addRun(support::key(1, 0, 1), 1);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PreemptorTest)

BOOST_AUTO_TEST_CASE(aGangPreemptsWorkThatSavesItsProgress)
{
    FullCell cell;
    BOOST_TEST(cell.plan().preemptions.empty()); // No work waits.
    cell.accept(support::job("gang", gangOf(1, 1500)));
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.empty());
    BOOST_REQUIRE(plan.preemptions.size() == 1U); // One stop suffices.
    BOOST_TEST(plan.preemptions.front().task.step.job == 1U);
}

BOOST_AUTO_TEST_CASE(noFurtherRunIsPreemptedWhileAStopIsPending)
{
    FullCell cell;
    cell.accept(support::job("gang", gangOf(1, 1500)));
    const cell::RunKey stopped = cell.plan().preemptions.front();
    cell.runViews[stopped].stopping = true;
    BOOST_TEST(cell.plan().preemptions.empty());
}

BOOST_AUTO_TEST_CASE(onlyPreemptibleWorkIsPreempted)
{
    const std::vector<std::function<void(cell::wire::StepT &)>> notPreemptible = {
        [](cell::wire::StepT &step) { step.saves_progress = false; },
        [](cell::wire::StepT &step) { step.gang = true; },
        [](cell::wire::StepT &step) { step.lasting = true; },
    };
    for (const auto &change : notPreemptible) {
        FullCell cell(change);
        cell.accept(support::job("gang", gangOf(1, 1500)));
        BOOST_TEST(cell.plan().preemptions.empty());
    }
}

BOOST_AUTO_TEST_CASE(workOfTheSamePriorityIsNotPreempted)
{
    FullCell cell;
    cell.accept(support::job("also wide", gangOf(1, 1500), "wide"));
    BOOST_TEST(cell.plan().preemptions.empty());
}

BOOST_AUTO_TEST_CASE(aJobWithoutSlackTimeIsNotPreempted)
{
    FullCell cell;
    cell.accept(support::job("gang", gangOf(1, 1500)));
    cell.acceptedAt[1] = cell.now - std::chrono::milliseconds(15500); // The objective is 21 s, and 5 s of work remain.
    BOOST_TEST(cell.plan().preemptions.empty());
    cell.acceptedAt[1] = cell.now - std::chrono::milliseconds(12000);
    BOOST_TEST(cell.plan().preemptions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aNearlyFinishedRunIsNotPreempted)
{
    FullCell cell;
    cell.runViews[{support::key(1, 0, 0), 1}].percent = 95;
    cell.accept(support::job("gang", gangOf(1, 1500)));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.preemptions.size() == 1U);
    BOOST_TEST(plan.preemptions.front().task.task == 1U);
}

/// Load pattern: gangs that need whole upstreams, while single tasks keep all of them partly used.
BOOST_AUTO_TEST_CASE(upstreamsReservedForAGangGetNoOtherWork)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlack()));
    for (int i = 0; i < 8; ++i) {
        cell.addUpstream("u" + std::to_string(i), 4000);
    }
    cell.accept(support::job("small", savingStep(8, 1000), "wide"));
    for (std::uint32_t i = 0; i < 8; ++i) {
        cell.addRun(support::key(1, 0, i), 1 + i);
    }
    cell.accept(support::job("gang", gangOf(2, 4000)));
    cell.accept(support::job("more", support::step(40, 1000), "wide"));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.preemptions.size() == 2U);
    std::set<std::uint64_t> reserved;
    for (const cell::RunKey &stop : plan.preemptions) {
        reserved.insert(1 + stop.task.task);
    }
    BOOST_TEST(!plan.starts.empty());
    for (const cell::planning::PlannedStart &start : plan.starts) {
        BOOST_TEST(reserved.count(start.upstream) == 0U);
    }
}

/// Load pattern: more gangs wait than the service could run at once.
BOOST_AUTO_TEST_CASE(gangsBeyondTheServicesCapacityPreemptNothing)
{
    PlannedCell cell;
    cell.state.apply(support::put(rulesWithSlack()));
    for (int i = 0; i < 4; ++i) {
        cell.addUpstream("u" + std::to_string(i), 4000);
    }
    cell.accept(support::job("small", savingStep(4, 1000), "wide"));
    for (std::uint32_t i = 0; i < 4; ++i) {
        cell.addRun(support::key(1, 0, i), 1 + i);
    }
    cell.accept(support::job("too wide", gangOf(5, 4000)));
    BOOST_TEST(cell.plan().preemptions.empty());
    for (int i = 0; i < 10; ++i) {
        cell.accept(support::job("gang" + std::to_string(i), gangOf(2, 4000)));
    }
    BOOST_TEST(cell.plan().preemptions.size() <= 4U);
}

/// Load pattern: small tasks keep every upstream partly used, and single tasks that need most of an upstream never find one free.
BOOST_AUTO_TEST_CASE(aLargeTaskPreemptsWorkThatSavesItsProgress)
{
    FullCell cell;
    cell.accept(support::job("large", support::step(2, 2500)));
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.empty());
    BOOST_TEST(plan.preemptions.size() == 2U); // Both, for one of the two tasks.
}

BOOST_AUTO_TEST_CASE(aSmallTaskPreemptsNothing)
{
    FullCell cell;
    cell.accept(support::job("small", support::step(1, 1500)));
    BOOST_TEST(cell.plan().preemptions.empty());
}

/// Load pattern: at the end of a busy time one upstream after another becomes free, while a gang waits for its tickets.
BOOST_AUTO_TEST_CASE(aGangKeepsTheUpstreamsThatItsPendingQueryNames)
{
    PlannedCell cell;
    auto rules = rulesWithSlack();
    for (const auto &queue : rules->queues) {
        queue->advice = std::make_unique<cell::wire::AdviceT>();
        queue->advice->decision_us = 500000;
        queue->advice->valid_ms = 2000;
    }
    cell.state.apply(support::put(std::move(rules)));
    const std::set<std::uint64_t> upstreams{1, 2, 3};
    for (const std::uint64_t upstream : upstreams) {
        cell.addUpstream("u" + std::to_string(upstream), 4000);
    }
    const cell::StepKey gang = support::key(cell.accept(support::job("gang", gangOf(2, 4000))), 0, 0).step;
    cell.addTickets(gang, upstreams);
    cell::StepAdvice &advice = cell.advice.adviceFor(gang);
    for (auto &[upstream, ticket] : advice.allowed) {
        ticket.placeUntil = cell.now;
    }
    advice.queryPending = true;
    advice.pendingUpstreams = {2, 3};
    const cell::StepKey small = support::key(cell.accept(support::job("small", support::step(3, 1000), "wide")), 0, 0).step;
    cell.addTickets(small, upstreams);
    const Plan plan = cell.plan();
    BOOST_TEST(!plan.starts.empty());
    for (const auto &start : plan.starts) {
        BOOST_TEST(start.upstream == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
