#include "cell/teams/TeamCell.h"
#include "support/Seed.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace cranberryreel;
using cell::planning::Plan;
using cell::planning::WaitReason;
using cell::wire::EndKind;
using support::TeamCell;
using namespace std::chrono_literals;

namespace
{

std::unique_ptr<cell::wire::StepT> gang(std::uint32_t tasks, std::uint32_t cpuMillis)
{
    auto step = support::step(tasks, cpuMillis);
    step->gang = true;
    return step;
}

/// Ends a random part of the runs.
void endSomeRuns(TeamCell &cell, std::mt19937 &random)
{
    std::vector<std::pair<cell::RunKey, std::uint64_t>> runs;
    cell::planning::forEachRun(cell.state,
                               [&runs](const cell::wire::RunT &run, const cell::wire::StepT &, const cell::wire::JobT &, const cell::TaskKey &task) {
                                   runs.push_back({{task, run.attempt}, run.upstream});
                               });
    for (const auto &[key, upstream] : runs) {
        if (random() % 4 == 0) {
            cell.state.apply(support::end(key.task, key.attempt, upstream, random() % 5 == 0 ? EndKind::Lapsed : EndKind::Done));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamQuotaTest)

// Guards against two steps of one plan that each use what the quota leaves, and against a step wider than the quota that never starts.
BOOST_AUTO_TEST_CASE(stepsShareTheQuotaWithinOnePlanAndAWideStepRunsInWaves)
{
    TeamCell cell({{"a", {1, 5000}}, {"b", {1, 0}}});
    cell.addUpstreams(4, 8000);
    cell.submit("a", 3, 1000);
    cell.submit("a", 20, 1000);
    const Plan first = cell.plan();
    BOOST_TEST(first.starts.size() == 5U);
    BOOST_REQUIRE(first.waiting.size() == 1U);
    BOOST_TEST((first.waiting.front().reason == WaitReason::Quota));
    cell.commit(first);
    BOOST_TEST(cell.plan().starts.empty());
    cell.state.apply(support::end(first.starts.front().task, 1, first.starts.front().upstream, EndKind::Done));
    BOOST_TEST(cell.plan().starts.size() == 1U);
}

// Guards against memory or accelerators that are not counted.
BOOST_AUTO_TEST_CASE(eachResourceIsLimited)
{
    TeamCell cell({{"a", {1, 0}}});
    cell.addUpstreams(2, 64000);
    auto rules = std::make_unique<cell::wire::RulesT>(*cell.state.rules());
    ++rules->version;
    rules->teams.front()->memory_mib = 350; // Tasks of the samples need 100 MiB.
    cell.state.apply(support::put(std::move(rules)));
    cell.submit("a", 10, 10);
    BOOST_TEST(cell.plan().starts.size() == 3U);
}

// Guards against runs that stop counting before their end is committed: one that is being stopped or whose job is cancelled may still execute.
BOOST_AUTO_TEST_CASE(aRunCountsUntilItsEndIsCommitted)
{
    TeamCell cell({{"a", {1, 1000}}});
    cell.addUpstreams(1, 8000);
    const std::uint64_t first = cell.submit("a", 1, 1000);
    cell.commit(cell.plan());
    cell.submit("a", 1, 1000);
    cell.runViews[{support::key(first, 0, 0), 1}] = {true, false, 100};
    BOOST_TEST(cell.plan().starts.empty());
    cell::wire::CommandT cancel;
    cancel.cancels.push_back("job1");
    cell.state.apply(cancel);
    BOOST_TEST(cell.plan().starts.empty());
    cell.state.apply(support::end(support::key(first, 0, 0), 1, 1, EndKind::Stopped));
    BOOST_TEST(cell.plan().starts.size() == 1U);
}

// Guards against a new leader that takes the quota as unused, and against a cut quota that stops runs.
BOOST_AUTO_TEST_CASE(aNewLeaderKnowsTheUseAndACutQuotaStopsOnlyNewStarts)
{
    TeamCell cell({{"a", {1, 4000}}});
    cell.addUpstreams(2, 8000);
    cell.submit("a", 10, 1000);
    cell.commit(cell.plan());
    cell.state = cell::CellState::decode(cell.state.encode());
    BOOST_TEST(cell.plan().starts.empty());
    cell.putTeams({{"a", {1, 2000}}});
    const Plan cut = cell.plan();
    BOOST_TEST(cut.starts.empty());
    BOOST_TEST(cut.preemptions.empty());
    cell.putTeams({{"a", {1, 6000}}});
    BOOST_TEST(cell.plan().starts.size() == 2U);
}

// Guards against a job that stops when its team is removed from the rules.
BOOST_AUTO_TEST_CASE(aJobWhoseTeamIsGoneAndOneWithoutATeamHaveNoQuota)
{
    TeamCell cell({{"a", {1, 1000}}});
    cell.addUpstreams(2, 8000);
    cell.submit("gone", 5, 1000);
    cell.submit("", 5, 1000);
    cell.submit("a", 5, 1000);
    BOOST_TEST(cell.plan().starts.size() == 11U);
}

// Guards against a gang that starts in part, and one that small steps of its team keep waiting for ever.
BOOST_AUTO_TEST_CASE(aGangThatWaitsForTheQuotaHoldsBackLaterStepsOfItsTeam)
{
    TeamCell cell({{"a", {1, 5000}}, {"b", {1, 0}}});
    cell.addUpstreams(4, 8000);
    const std::uint64_t running = cell.submit("a", 2, 1000);
    cell.commit(cell.plan());
    const std::uint64_t gangJob = cell.submit("a", gang(4, 1000), cell.now);
    const std::uint64_t later = cell.submit("a", 9, 1000); // More work than the gang, so it comes later.
    const std::uint64_t other = cell.submit("b", 1, 1000);
    const std::uint64_t urgent = cell.submit("a", 1, 1000, "quick");
    const Plan plan = cell.plan();
    auto starts = TeamCell::startsByJob(plan);
    BOOST_TEST(starts[gangJob] == 0U);
    BOOST_TEST(starts[later] == 0U);
    BOOST_TEST(starts[other] == 1U);
    BOOST_TEST(starts[urgent] == 1U); // A higher priority is not held back.
    BOOST_TEST(plan.preemptions.empty());
    for (std::uint32_t task = 0; task < 2; ++task) {
        cell.state.apply(
            support::end(support::key(running, 0, task), 1, cell.state.task(cell::toRef(support::key(running, 0, task)))->runs[0]->upstream, EndKind::Done));
    }
    starts = TeamCell::startsByJob(cell.plan());
    BOOST_TEST(starts[gangJob] == 4U);
    BOOST_TEST(starts[later] == 0U); // The urgent step has the rest.
}

// Guards against a team that stands still because of a gang that can never start: the quota was cut below it, or work that never ends uses too much of it.
BOOST_AUTO_TEST_CASE(aGangThatCanNeverStartHoldsNothingBack)
{
    TeamCell cell({{"a", {1, 3000}}});
    cell.addUpstreams(4, 8000);
    cell.submit("a", gang(4, 1000), cell.now);
    cell.submit("a", 9, 1000);
    BOOST_TEST(cell.plan().starts.size() == 3U);

    TeamCell busy({{"a", {1, 5000}}});
    busy.addUpstreams(4, 8000);
    auto lasting = support::step(2, 1000);
    lasting->lasting = true;
    busy.submit("a", std::move(lasting), busy.now);
    busy.commit(busy.plan());
    busy.submit("a", gang(4, 1000), busy.now);
    busy.submit("a", 9, 1000);
    BOOST_TEST(busy.plan().starts.size() == 3U);
}

// Guards against a team that drains again and again for a gang that no upstream can take, because only its quota was asked.
BOOST_AUTO_TEST_CASE(aGangThatNoUpstreamCanTakeHoldsNothingBack)
{
    TeamCell cell({{"a", {1, 6000}}});
    cell.addUpstreams(4, 8000);
    cell.submit("a", 3, 1000);
    cell.commit(cell.plan());
    auto infeasible = gang(4, 1000);
    infeasible->label = "no-such-label";
    cell.submit("a", std::move(infeasible), cell.now);
    cell.submit("a", 9, 1000);
    BOOST_TEST(cell.plan().starts.size() == 3U);
}

// Guards against a gang that waits for its upstreams and for its quota by turns: its later steps use up the quota while runs are stopped for it.
BOOST_AUTO_TEST_CASE(theQuotaOfAGangWithReservedUpstreamsIsSetAside)
{
    TeamCell cell({{"a", {1, 5000}}, {"b", {1, 0}}});
    cell.addUpstreams(2, 2000);
    auto saving = support::step(4, 1000);
    saving->saves_progress = true;
    saving->estimate_ms = 100000;
    cell.submit("b", std::move(saving), cell.now);
    cell.commit(cell.plan());
    auto elsewhere = support::upstream("elsewhere", 8000);
    elsewhere->labels = {"b", "rack-2"};
    cell.addUpstream(std::move(elsewhere));
    auto labelled = gang(4, 1000);
    labelled->label = "a";
    cell.submit("a", std::move(labelled), cell.now, "quick");
    const std::uint64_t later = cell.submit("a", 3, 1000, "quick");
    const Plan plan = cell.plan();
    BOOST_TEST(plan.preemptions.size() == 3U);
    BOOST_TEST(TeamCell::startsByJob(plan)[later] == 1U);
}

// Guards against overdue work with large tasks that small tasks of its team keep waiting for the quota.
BOOST_AUTO_TEST_CASE(anOverdueStepThatWaitsForTheQuotaHoldsBackLaterSteps)
{
    for (const bool overdue : {false, true}) {
        TeamCell cell({{"a", {1, 3000}}, {"b", {1, 0}}});
        cell.addUpstreams(4, 8000);
        cell.submit("a", 2, 1000);
        cell.commit(cell.plan());
        auto large = support::step(1, 2500);
        large->estimate_ms = 1000;
        cell.submit("a", std::move(large), overdue ? cell.now - 30s : cell.now - 10s);
        const std::uint64_t small = cell.submit("a", 1, 1000);
        BOOST_TEST(TeamCell::startsByJob(cell.plan())[small] == (overdue ? 0U : 1U));
    }
}

// Guards against stops for a gang that its quota would keep waiting anyway; without the quota the gang preempts.
BOOST_AUTO_TEST_CASE(nothingIsPreemptedOrReservedForStartsThatTheQuotaForbids)
{
    for (const std::uint64_t quota : {0, 3000}) {
        TeamCell cell({{"a", {1, quota}}, {"b", {1, 0}}});
        cell.addUpstreams(2, 2000);
        auto saving = support::step(4, 1000);
        saving->saves_progress = true;
        saving->estimate_ms = 100000;
        cell.submit("b", std::move(saving), cell.now);
        cell.commit(cell.plan());
        cell.submit("a", gang(4, 1000), cell.now, "quick");
        const Plan plan = cell.plan();
        BOOST_TEST(plan.starts.empty());
        BOOST_TEST(plan.preemptions.size() == (quota == 0 ? 3U : 0U));
    }
}

// Guards against scarce advice for tickets that the quota makes useless.
BOOST_AUTO_TEST_CASE(adviceQueriesTogetherRequestNoMoreTasksThanTheQuotaLeaves)
{
    TeamCell cell({{"a", {1, 5000}}}, TeamCell::Advice::Required);
    cell.addUpstreams(4, 8000);
    const std::uint64_t first = cell.submit("a", 3, 1000);
    cell.submit("a", 20, 1000);
    cell.submit("a", 30, 1000);
    const Plan plan = cell.plan();
    std::uint32_t tasks = 0;
    for (const auto &query : plan.adviceQueries) {
        tasks += query.tasks;
    }
    BOOST_TEST(tasks == 5U);
    cell.advice.adviceFor({first, 0, 0}).queryPending = true;
    cell.advice.adviceFor({first, 0, 0}).pendingTasks = 3;
    BOOST_REQUIRE(cell.plan().adviceQueries.size() == 1U);
    BOOST_TEST(cell.plan().adviceQueries.front().tasks == 2U);
    cell.putTeams({{"a", {1, 500}}});
    BOOST_TEST(cell.plan().adviceQueries.empty());
}

// Load: random steps, gangs, quotas, ends and quota changes over many plans. Guards against any sum of planned starts above a limit, a gang that starts in
// part, and stops because of a quota.
BOOST_AUTO_TEST_CASE(plannedStartsNeverExceedTheQuota)
{
    std::mt19937 random(static_cast<std::uint32_t>(support::testSeed()));
    BOOST_TEST_MESSAGE("seed " << support::testSeed());
    std::size_t starts = 0;
    std::size_t atTheEdge = 0;
    for (int round = 0; round < 20; ++round) {
        std::map<std::string, TeamCell::Team> teams;
        for (const char *name : {"a", "b", "c", "d"}) {
            teams[name] = {1.0 + random() % 5, random() % 4 == 0 ? 0 : 3000 + random() % 20000};
        }
        TeamCell cell(teams);
        cell.addUpstreams(10, 8000);
        for (int plans = 0; plans < 40; ++plans) {
            for (int jobs = static_cast<int>(random() % 4); jobs > 0; --jobs) {
                auto step = support::step(1 + random() % 12, 200 + 100 * (random() % 30));
                step->gang = random() % 4 == 0;
                step->saves_progress = random() % 2 == 0;
                step->estimate_ms = 500;
                cell.submit(std::string(1, "abcd"[random() % 4]), std::move(step), cell.now, random() % 3 == 0 ? "quick" : "wide", random() % 5 == 0);
            }
            endSomeRuns(cell, random);
            if (random() % 10 == 0) {
                teams["a"].cpuMillis = 2000 + random() % 10000;
                cell.putTeams(teams);
            }
            auto before = cell.runningCpu();
            const Plan plan = cell.plan();
            cell.commit(plan);
            starts += plan.starts.size();
            for (const auto &[name, cpuMillis] : cell.runningCpu()) {
                const auto limit = static_cast<std::int64_t>(teams[name].cpuMillis);
                BOOST_TEST((limit == 0 || cpuMillis <= std::max(limit, before[name])), name << " runs " << cpuMillis << " of " << limit);
            }
            for (const auto &start : plan.starts) {
                const std::uint64_t number = start.task.step.job;
                for (const auto &task : cell.state.job(number)->occurrences.front()->steps.front()->tasks) {
                    BOOST_TEST((!cell.state.job(number)->spec->steps.front()->gang || task->done || !task->runs.empty()));
                }
            }
            for (const auto &waiting : plan.waiting) {
                atTheEdge += waiting.reason == WaitReason::Quota ? 1 : 0;
            }
        }
    }
    BOOST_TEST_MESSAGE("starts: " << starts << ", steps that waited for a quota: " << atTheEdge);
    BOOST_TEST(starts > 1000U);
    BOOST_TEST(atTheEdge > 1000U);
}

// Guards against starved teams in a cell that has room: a team below half of its quota, in a service less than half used, starts at once.
BOOST_AUTO_TEST_CASE(workStartsWhileItsTeamAndTheServiceAreHalfIdle)
{
    std::mt19937 random(static_cast<std::uint32_t>(support::testSeed()));
    for (int round = 0; round < 200; ++round) {
        TeamCell cell({{"a", {1, 16000}}, {"b", {5, 20000}}});
        cell.addUpstreams(10, 8000);
        cell.submit("a", 1 + random() % 7, 1000); // Below half of its quota.
        cell.submit("b", 1 + random() % 30, 1000);
        cell.commit(cell.plan());
        auto step = support::step(1 + random() % 40, 500 + 500 * (random() % 8));
        const bool beyondRate = random() % 2 == 0;
        const std::uint64_t next = cell.submit("a", std::move(step), cell.now, random() % 2 == 0 ? "quick" : "wide", beyondRate);
        cell.submit("b", 30, 1000, "wide", true);
        BOOST_TEST(TeamCell::startsByJob(cell.plan())[next] > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
