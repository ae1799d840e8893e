#include "cell/PlannedCell.h"
#include "support/Seed.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <sstream>

using namespace cranberryreel;
using support::PlannedCell;

namespace
{

constexpr int Cells = 400;

/// A cell with work of all kinds, partly running, partly with advice.
void fill(PlannedCell &cell, std::mt19937_64 &random)
{
    const auto below = [&random](std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); };
    auto rules = support::rules(2);
    for (const auto &queue : rules->queues) {
        queue->slack = 1.5;
        queue->target_latency_ms = 250;
        if (below(2) == 0) {
            queue->advice = std::make_unique<cell::wire::AdviceT>();
            queue->advice->decision_us = 26000;
            queue->advice->per_upstream_us = 360;
            queue->advice->valid_ms = 2500;
        }
    }
    cell.state.apply(support::put(std::move(rules)));
    const std::uint32_t upstreams = 2 + below(30);
    for (std::uint32_t i = 1; i <= upstreams; ++i) {
        auto upstream = support::upstream("u" + std::to_string(i), 8000 + 1000 * below(8));
        upstream->zone = below(2) == 0 ? "z" : "y";
        upstream->labels = {"a", "rack-" + std::to_string(below(3))};
        cell.addUpstream(std::move(upstream));
        cell.trackers.at(i).failuresInRow = below(8) == 0 ? 3 : 0;
    }
    for (std::uint32_t j = 1; j <= 12; ++j) {
        auto step = support::step(1 + below(10), 500 + 500 * below(10));
        step->estimate_ms = 100 * below(40);
        step->gang = below(4) == 0;
        step->lasting = below(6) == 0;
        step->saves_progress = below(3) == 0;
        step->data_rack = below(4) == 0 ? "rack-1" : "";
        step->one_rack = below(5) == 0;
        const std::uint32_t tasks = step->tasks;
        const bool runs = below(3) == 0;
        auto job = support::job("j" + std::to_string(j), std::move(step), below(2) == 0 ? "quick" : "wide");
        job->zone = below(2) == 0 ? "z" : "y";
        const std::uint64_t number = cell.accept(std::move(job));
        cell.acceptedAt[number] -= std::chrono::milliseconds(below(6000));
        for (std::uint32_t task = 0; runs && task < tasks; ++task) {
            cell.addRun(support::key(number, 0, task), 1 + below(upstreams), static_cast<int>(below(100)));
        }
        std::set<std::uint64_t> tickets;
        for (std::uint32_t i = 1; i <= upstreams; ++i) {
            if (below(2) == 0) {
                tickets.insert(i);
            }
        }
        cell.addTickets({number, 0, 0}, tickets);
    }
}

std::string text(const cell::planning::Plan &plan)
{
    std::ostringstream out;
    for (const auto &start : plan.starts) {
        out << start.task.step.job << '/' << start.task.task << '.' << start.attempt << '@' << start.upstream << ' ';
    }
    for (const auto &query : plan.adviceQueries) {
        out << "query " << query.step.job << ' ' << query.tasks << ' ' << static_cast<int>(query.timing);
        std::for_each(query.upstreams.begin(), query.upstreams.end(), [&out](std::uint64_t upstream) { out << ',' << upstream; });
    }
    for (const auto &run : plan.preemptions) {
        out << " stop " << run.task.step.job << '/' << run.task.task;
    }
    for (const auto &step : plan.waiting) {
        out << " waits " << step.step.job << ' ' << step.tasks << ' ' << waitReasonName(step.reason);
    }
    return out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EqualSpeedsTest)

/// Guards against any change of plans in deployments whose upstreams are equal, or whose setting is off: start for start and query for query.
BOOST_AUTO_TEST_CASE(plansOfEqualUpstreamsAreThoseWithoutSpeeds)
{
    BOOST_TEST_MESSAGE("seed " << support::testSeed());
    std::mt19937_64 random(support::testSeed());
    std::size_t starts = 0;
    std::size_t queries = 0;
    for (int i = 0; i < Cells; ++i) {
        PlannedCell cell;
        fill(cell, random);
        const auto without = cell.plan();
        starts += without.starts.size();
        queries += without.adviceQueries.size();
        cell.considersSpeed = true;
        BOOST_REQUIRE_EQUAL(text(cell.plan()), text(without));
        for (const auto &[number, upstream] : cell.state.upstreams()) {
            cell.speeds.byUpstream[number] = number % 3 == 0 ? 1.7 : 0.7;
        }
        cell.speeds.uneven = false;
        BOOST_REQUIRE_EQUAL(text(cell.plan()), text(without));
    }
    BOOST_TEST(starts > 1000U);
    BOOST_TEST(queries > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
