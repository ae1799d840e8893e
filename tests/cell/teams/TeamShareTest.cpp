#include "cell/teams/TeamSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using namespace std::chrono_literals;
using cell::planning::Plan;
using cell::planning::WaitReason;
using std::chrono::milliseconds;
using support::TeamCell;
using support::TeamSimulation;

namespace
{

constexpr milliseconds TaskTime{1000};
const std::vector<std::string> Others{"b", "c", "d", "e"};

/// The longest wait of any job of the teams b to e, each of which submits 0.15 of what the cell of 80 cores can do, while the given loads come on top.
milliseconds longestWaitOfOthers(const std::vector<TeamSimulation::Load> &loads, std::uint64_t quotaMillis = 0)
{
    std::map<std::string, TeamCell::Team> teams{{"a", {1, quotaMillis}}, {"f", {1, quotaMillis}}};
    std::vector<TeamSimulation::Load> all = loads;
    for (const std::string &name : Others) {
        teams[name] = {1, 0};
        all.push_back({name, 4, 350ms});
    }
    TeamSimulation cell(teams);
    cell.addUpstreams(10, 8000);
    cell.run(all, 12s);
    milliseconds longest{};
    for (const std::string &name : Others) {
        longest = std::max(longest, cell.longestWait(name));
    }
    return longest;
}

void checkCostToOthers(const std::string &name, const std::vector<TeamSimulation::Load> &loads, std::uint64_t quotaMillis = 0)
{
    const milliseconds without = longestWaitOfOthers({});
    const milliseconds with = longestWaitOfOthers(loads, quotaMillis);
    BOOST_TEST_MESSAGE(name << ": longest wait of others " << without.count() << " ms without, " << with.count() << " ms with the load");
    BOOST_TEST((with - without <= TaskTime));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamShareTest)

// Load: one team at 7 times a usual load of 0.2 of the cell. Guards against its flood delaying the others.
BOOST_AUTO_TEST_CASE(oneTeamAtSevenTimesItsLoad)
{
    checkCostToOthers("one team at 7 times its load", {{"a", 5, 45ms}});
}

// Load: two teams at 5 times their usual load at once.
BOOST_AUTO_TEST_CASE(severalTeamsAtOnce)
{
    checkCostToOthers("two teams at 5 times their load", {{"a", 5, 60ms}, {"f", 5, 60ms}});
}

// Load: two teams that want more than their quota of 0.2 of the cell all the time.
BOOST_AUTO_TEST_CASE(teamsAtTheEdgeOfTheirQuota)
{
    checkCostToOthers("teams at the edge of their quota", {{"a", 3, 100ms}, {"f", 3, 100ms}}, 16000);
}

// Load: one team submits only steps as wide as the cell, twice as many as the cell can do.
BOOST_AUTO_TEST_CASE(aTeamWithOnlyWideJobs)
{
    checkCostToOthers("only wide jobs", {{"a", 80, 500ms}});
}

// Load: floods of jobs that can never start, by label, by size, or as gangs larger than the cell. Guards against reservations and shares that they take.
BOOST_AUTO_TEST_CASE(aFloodOfInfeasibleJobs)
{
    checkCostToOthers("infeasible label", {{"a", 5, 50ms, [](cell::wire::StepT &step) { step.label = "none"; }}});
    checkCostToOthers("infeasible size", {{"a", 5, 50ms, [](cell::wire::StepT &step) { step.cpu_millis = 9000; }}});
    checkCostToOthers("infeasible gang", {{"a", 90, 50ms, [](cell::wire::StepT &step) { step.gang = true; }}});
}

// Guards against capacity that is split by arrival instead of by weight.
BOOST_AUTO_TEST_CASE(freeCapacityIsSplitByWeight)
{
    TeamCell cell({{"a", {1, 0}}, {"b", {3, 0}}});
    cell.addUpstreams(10, 8000);
    std::map<std::string, std::size_t> starts;
    for (int i = 0; i < 200; ++i) {
        cell.submit(i < 100 ? "a" : "b", 1, 1000);
    }
    cell.commit(cell.plan());
    const auto running = cell.runningCpu();
    BOOST_TEST(running.at("a") + running.at("b") >= 70000); // The rest is headroom.
    BOOST_TEST(std::abs(running.at("b") - 3 * running.at("a")) <= 3000);
}

// Guards against jobs without a team that get more or less than a team of mean weight.
BOOST_AUTO_TEST_CASE(jobsWithoutATeamHaveTheMeanWeight)
{
    TeamCell cell({{"a", {1, 0}}, {"b", {3, 0}}});
    cell.addUpstreams(10, 8000);
    for (int i = 0; i < 100; ++i) {
        cell.submit("b", 1, 1000);
        cell.submit("", 1, 1000);
    }
    cell.commit(cell.plan());
    const auto running = cell.runningCpu();
    BOOST_TEST(std::abs(2 * running.at("b") - 3 * running.at("")) <= 3000);
}

// Guards against plans that change where no team takes part: rules without teams, and rules with teams but only jobs without one.
BOOST_AUTO_TEST_CASE(withoutTeamsThePlanIsTheSame)
{
    const auto startsWith = [](const std::map<std::string, TeamCell::Team> &teams, const std::string &team) {
        TeamCell cell(teams);
        cell.addUpstreams(5, 8000);
        for (std::uint32_t i = 0; i < 60; ++i) {
            auto step = support::step(1 + i * 7 % 5, 500 + i * 13 % 9 * 100);
            step->estimate_ms = 300;
            step->gang = i % 11 == 0;
            cell.submit(team, std::move(step), cell.now - i * 97 % 40 * 200ms, i % 3 == 0 ? "quick" : "wide");
        }
        std::vector<std::string> starts;
        for (const auto &start : cell.plan().starts) {
            starts.push_back(cell.state.job(start.task.step.job)->spec->id + "." + std::to_string(start.task.task) + "@" + std::to_string(start.upstream));
        }
        return starts;
    };
    const auto today = startsWith({}, "");
    BOOST_TEST(today.size() > 20U);
    BOOST_TEST((startsWith({{"a", {1, 1000}}, {"b", {2, 0}}}, "") == today));
    BOOST_TEST((startsWith({}, "a") == today)); // The rules lost their teams.
}

// Load: a team beyond its rate in an urgent queue. Guards against marked work that comes before other work, uses the headroom, or stops runs.
BOOST_AUTO_TEST_CASE(workBeyondTheRateComesLastLeavesTheHeadroomAndPreemptsNothing)
{
    TeamCell cell({{"a", {1, 0}}, {"b", {1, 0}}});
    cell.addUpstreams(10, 8000);
    const std::uint64_t marked = cell.submit("a", 100, 1000, "quick", true);
    const std::uint64_t other = cell.submit("b", 30, 1000, "wide");
    Plan plan = cell.plan();
    BOOST_TEST(TeamCell::startsByJob(plan)[other] == 30U);
    BOOST_TEST(TeamCell::startsByJob(plan)[marked] == 40U); // 0.12 of the 80 cores is headroom.
    BOOST_REQUIRE(plan.waiting.size() == 1U);
    BOOST_TEST((plan.waiting.front().reason == WaitReason::Headroom));
    cell.commit(plan);
    BOOST_TEST(TeamCell::startsByJob(cell.plan())[cell.submit("a", 5, 1000, "quick")] == 0U);
    BOOST_TEST(TeamCell::startsByJob(cell.plan()).size() == 1U); // Unmarked urgent work uses the headroom.

    for (const bool beyondRate : {false, true}) {
        TeamCell full({{"a", {1, 0}}, {"b", {1, 0}}});
        full.addUpstreams(2, 2000);
        auto saving = support::step(3, 1000);
        saving->saves_progress = true;
        saving->estimate_ms = 100000;
        full.submit("b", std::move(saving), full.now);
        full.commit(full.plan());
        auto gang = support::step(4, 1000);
        gang->gang = true;
        full.submit("a", std::move(gang), full.now, "quick", beyondRate);
        full.submit("b", 1, 500, "quick", true);
        plan = full.plan();
        BOOST_TEST(plan.preemptions.size() == (beyondRate ? 0U : 3U));
        BOOST_TEST(plan.starts.size() == (beyondRate ? 1U : 0U)); // A gang within the rate keeps its upstreams reserved.
    }
}

// Load: two teams keep the cell full of work that is on time, and one of them has a missed job. Guards against missed work that is never served, and against
// missed work that takes capacity from work that is on time before it is overdue.
BOOST_AUTO_TEST_CASE(missedWorkYieldsUntilItIsOverdueAndThenStarts)
{
    TeamSimulation cell({{"a", {1, 0}}, {"b", {1, 0}}});
    cell.addUpstreams(10, 8000);
    const std::vector<TeamSimulation::Load> loads{{"a", 4, 50ms, [](cell::wire::StepT &step) { step.tasks = 4; }}, {"b", 4, 50ms}};
    cell.run(loads, 2s);
    auto step = support::step(1, 1000);
    step->estimate_ms = 1000;
    const auto accepted = cell.time - 9s; // The objective is 2 times the estimate and 1 s; after three times that a job is missed.
    const std::uint64_t missed = cell.submit("a", std::move(step), accepted);
    cell.run(loads, 7s);
    BOOST_TEST((cell.startedAt.count(missed) == 0));
    cell.run(loads, 4s);
    BOOST_REQUIRE(cell.startedAt.count(missed) == 1U);
    const milliseconds wait = std::chrono::duration_cast<milliseconds>(cell.startedAt[missed] - accepted);
    BOOST_TEST_MESSAGE("a missed job started after " << wait.count() << " ms");
    BOOST_TEST((wait >= 17s)); // Six times the objective, less the estimate.
    BOOST_TEST((wait <= 18s + TaskTime));
}

// Load: a team with 200 overdue jobs that keeps submitting as much as the cell can do. Guards against overdue work that crowds out work that is on time.
BOOST_AUTO_TEST_CASE(overdueWorkTakesOnlyASmallPartOfItsTeamsShare)
{
    TeamSimulation cell({{"a", {1, 0}}, {"b", {1, 0}}});
    cell.addUpstreams(10, 8000);
    const std::vector<TeamSimulation::Load> loads{{"a", 4, 50ms}, {"b", 4, 50ms}};
    cell.run(loads, 2s);
    const std::uint64_t before = cell.state.jobs().rbegin()->first;
    for (int i = 0; i < 200; ++i) {
        auto step = support::step(1, 1000);
        step->estimate_ms = 1000;
        cell.submit("a", std::move(step), cell.time - 30s);
    }
    cell.run(loads, 10s);
    std::size_t overdue = 0;
    for (const auto &[number, at] : cell.startedAt) {
        overdue += number > before && number <= before + 200 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(overdue << " overdue jobs started in 10 s");
    BOOST_TEST(overdue >= 20U);
    BOOST_TEST(overdue <= 50U); // A tenth of the 350 tasks that half of the cell can run in 10 s, and some for rounding.
}

BOOST_AUTO_TEST_SUITE_END()
