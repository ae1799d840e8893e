#include "cell/PlannedCell.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace cranberryreel;
using cell::Plan;
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

std::unique_ptr<cell::wire::RulesT> patientRules()
{
    auto rules = support::rules(2);
    for (const auto &queue : rules->queues) {
        queue->slack = 4;
        queue->target_latency_ms = 1000;
    }
    return rules;
}

/// One upstream, full of two tasks of a wide job.
struct FullCell : PlannedCell {
    explicit FullCell(const std::function<void(cell::wire::StepT &)> &change = [](cell::wire::StepT &) {})
    {
        this->state.apply(support::put(patientRules()));
        this->add("u1", 4000);
        auto step = savingStep(2, 2000);
        change(*step);
        this->accept(support::job("wide", std::move(step), "wide"));
        this->run(support::key(1, 0, 0), 1);
        this->run(support::key(1, 0, 1), 1);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PreemptorTest)

BOOST_AUTO_TEST_CASE(aGangHasWorkStoppedThatSavesItsProgress)
{
    FullCell cell;
    BOOST_TEST(cell.plan().stops.empty()); // Nothing waits.
    cell.accept(support::job("gang", gangOf(1, 1500)));
    const Plan plan = cell.plan();
    BOOST_TEST(plan.starts.empty());
    BOOST_REQUIRE(plan.stops.size() == 1U); // No more than it takes.
    BOOST_TEST(plan.stops.front().task.step.job == 1U);
}

BOOST_AUTO_TEST_CASE(aStopUnderWayIsWaitedFor)
{
    FullCell cell;
    cell.accept(support::job("gang", gangOf(1, 1500)));
    const cell::RunKey stopped = cell.plan().stops.front();
    cell.views[stopped].stopping = true;
    BOOST_TEST(cell.plan().stops.empty());
}

BOOST_AUTO_TEST_CASE(onlyWorkThatLosesNothingGivesWay)
{
    const std::vector<std::function<void(cell::wire::StepT &)>> firm = {
        [](cell::wire::StepT &step) { step.saves_progress = false; },
        [](cell::wire::StepT &step) { step.gang = true; },
        [](cell::wire::StepT &step) { step.lasting = true; },
    };
    for (const auto &change : firm) {
        FullCell cell(change);
        cell.accept(support::job("gang", gangOf(1, 1500)));
        BOOST_TEST(cell.plan().stops.empty());
    }
}

BOOST_AUTO_TEST_CASE(workOfTheSamePriorityDoesNotGiveWay)
{
    FullCell cell;
    cell.accept(support::job("also wide", gangOf(1, 1500), "wide"));
    BOOST_TEST(cell.plan().stops.empty());
}

BOOST_AUTO_TEST_CASE(aJobWithoutTimeToSpareGoesOn)
{
    FullCell cell;
    cell.accept(support::job("gang", gangOf(1, 1500)));
    cell.acceptedAt[1] = cell.now - std::chrono::milliseconds(15500); // Its objective is 21 s, and 5 s of work are left.
    BOOST_TEST(cell.plan().stops.empty());
    cell.acceptedAt[1] = cell.now - std::chrono::milliseconds(12000);
    BOOST_TEST(cell.plan().stops.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aRunThatEndsSoonGoesOn)
{
    FullCell cell;
    cell.views[{support::key(1, 0, 0), 1}].percent = 95;
    cell.accept(support::job("gang", gangOf(1, 1500)));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.stops.size() == 1U);
    BOOST_TEST(plan.stops.front().task.task == 1U);
}

/// Load pattern: gangs that need whole upstreams beside single tasks that keep all of them partly used.
BOOST_AUTO_TEST_CASE(aGangClaimsWholeUpstreamsAndNothingElseStartsThere)
{
    PlannedCell cell;
    cell.state.apply(support::put(patientRules()));
    for (int i = 0; i < 8; ++i) {
        cell.add("u" + std::to_string(i), 4000);
    }
    cell.accept(support::job("small", savingStep(8, 1000), "wide"));
    for (std::uint32_t i = 0; i < 8; ++i) {
        cell.run(support::key(1, 0, i), 1 + i);
    }
    cell.accept(support::job("gang", gangOf(2, 4000)));
    cell.accept(support::job("more", support::step(40, 1000), "wide"));
    const Plan plan = cell.plan();
    BOOST_REQUIRE(plan.stops.size() == 2U);
    std::set<std::uint64_t> claimed;
    for (const cell::RunKey &stop : plan.stops) {
        claimed.insert(1 + stop.task.task);
    }
    BOOST_TEST(!plan.starts.empty());
    for (const cell::PlannedStart &start : plan.starts) {
        BOOST_TEST(claimed.count(start.upstream) == 0U);
    }
}

/// Load pattern: more gangs than the service could hold.
BOOST_AUTO_TEST_CASE(gangsThatFindNothingLeftStopNothing)
{
    PlannedCell cell;
    cell.state.apply(support::put(patientRules()));
    for (int i = 0; i < 4; ++i) {
        cell.add("u" + std::to_string(i), 4000);
    }
    cell.accept(support::job("small", savingStep(4, 1000), "wide"));
    for (std::uint32_t i = 0; i < 4; ++i) {
        cell.run(support::key(1, 0, i), 1 + i);
    }
    cell.accept(support::job("too wide", gangOf(5, 4000)));
    BOOST_TEST(cell.plan().stops.empty());
    for (int i = 0; i < 10; ++i) {
        cell.accept(support::job("gang" + std::to_string(i), gangOf(2, 4000)));
    }
    BOOST_TEST(cell.plan().stops.size() <= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
