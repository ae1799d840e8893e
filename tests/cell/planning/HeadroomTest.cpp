#include "cell/PlannedCell.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using support::PlannedCell;

namespace
{

std::unique_ptr<cell::wire::JobSpecT> lasting(const std::string &id, std::uint32_t cpuMillis)
{
    auto step = support::step(1, cpuMillis);
    step->lasting = true;
    return support::job(id, std::move(step), "wide");
}

/// Four upstreams of 32 cores with a job of 20 tasks of 5.5 cores: 18 cores are free, and 15.4 are kept for urgent work.
struct BusyService {
    PlannedCell cell;

    BusyService()
    {
        for (int i = 0; i < 4; ++i) {
            this->cell.addUpstream("u" + std::to_string(i), 32000);
        }
        const std::uint64_t batch = this->cell.accept(support::job("batch", support::step(20, 5500), "wide"));
        for (std::uint32_t task = 0; task < 20; ++task) {
            this->cell.addRun(support::key(batch, 0, task), 1 + task % 4);
        }
    }

    void runUrgentWork()
    {
        const std::uint64_t urgent = this->cell.accept(support::job("urgent", support::step(1, 2500), "quick"));
        this->cell.addRun(support::key(urgent, 0, 0), 1);
    }

    std::uint64_t acceptLasting(bool ranBefore)
    {
        const std::uint64_t number = this->cell.accept(lasting("lasting", 2000));
        if (ranBefore) {
            this->cell.state.apply(support::place(support::key(number, 0, 0), 1, 1));
            this->cell.state.apply(support::end(support::key(number, 0, 0), 1, 1, cell::wire::EndKind::Failed));
        }
        return number;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(HeadroomTest)

/// Failure: a task that lasts was not started again for as long as a batch job ran, since each urgent task took from the capacity kept for it.
BOOST_AUTO_TEST_CASE(aTaskThatLastsIsStartedAgainFromTheHeadroom)
{
    BusyService service;
    service.runUrgentWork();
    const std::uint64_t number = service.acceptLasting(true);
    const auto plan = service.cell.plan();
    BOOST_REQUIRE(plan.starts.size() == 1U);
    BOOST_TEST(plan.starts.front().task.step.job == number);
}

/// The other side: what never ran waits, so that the headroom returns as other work ends.
BOOST_AUTO_TEST_CASE(aFirstStartLeavesTheHeadroom)
{
    BusyService service;
    service.runUrgentWork();
    service.acceptLasting(false);
    BOOST_TEST(service.cell.plan().starts.empty());
}

/// The other side: urgent work finds room beside restarts, and what is not urgent waits until the headroom is there again.
BOOST_AUTO_TEST_CASE(afterARestartFromTheHeadroomOnlyUrgentWorkStarts)
{
    BusyService service;
    service.runUrgentWork();
    const std::uint64_t restarted = service.acceptLasting(true);
    service.cell.accept(support::job("more", support::step(1, 1000), "wide"));
    const std::uint64_t urgent = service.cell.accept(support::job("urgent2", support::step(3, 2500), "quick"));
    std::map<std::uint64_t, int> starts;
    for (const auto &start : service.cell.plan().starts) {
        ++starts[start.task.step.job];
    }
    BOOST_TEST(starts.size() == 2U);
    BOOST_TEST(starts[urgent] == 3);
    BOOST_TEST(starts[restarted] == 1);
}

/// A restart that needs advice asks for it within the headroom too.
BOOST_AUTO_TEST_CASE(aRestartAsksForAdviceWithinTheHeadroom)
{
    BusyService service;
    auto rules = support::rules(2);
    rules->queues.back()->advice = std::make_unique<cell::wire::AdviceT>();
    rules->queues.back()->advice->decision_us = 10000;
    rules->queues.back()->advice->valid_ms = 2000;
    service.cell.state.apply(support::put(std::move(rules)));
    service.runUrgentWork();
    service.acceptLasting(true);
    BOOST_TEST(service.cell.plan().adviceQueries.size() == 1U);
}

/// Failure: on the smallest service a task that takes nearly all of it never started, since the headroom could not remain.
BOOST_AUTO_TEST_CASE(workThatCanNeverLeaveTheHeadroomStartsOnAnIdleService)
{
    PlannedCell cell;
    cell.addUpstream("u1", 8000);
    cell.accept(support::job("large", support::step(1, 7500), "wide"));
    BOOST_TEST(cell.plan().starts.size() == 1U);
    PlannedCell withGang;
    withGang.addUpstream("u1", 8000);
    auto gang = support::step(3, 2500);
    gang->gang = true;
    withGang.accept(support::job("gang", std::move(gang), "wide"));
    BOOST_TEST(withGang.plan().starts.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
