#include "cell/planning/WaitingOrder.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace cranberryreel;
using cell::CellState;
using cell::planning::ReadyStep;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace
{

const base::SteadyTime Start = base::SteadyTime() + 1h;
constexpr std::uint32_t CellCpuMillis = 40000;

std::unique_ptr<cell::wire::RulesT> rulesWithObjectives()
{
    auto rules = support::rules(2);
    for (auto &queue : rules->queues) {
        queue->slack = 2.0;
        queue->target_latency_ms = 1000;
    }
    return rules;
}

std::unique_ptr<cell::wire::StepT> stepOf(std::uint32_t tasks, std::uint32_t cpuMillis, milliseconds estimate)
{
    auto step = support::step(tasks, cpuMillis);
    step->estimate_ms = static_cast<std::uint32_t>(estimate.count());
    return step;
}

/// Accepted jobs of queues with latency objectives.
struct WaitingJobs {
    CellState state;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt;

    WaitingJobs()
    {
        this->state.apply(support::put(rulesWithObjectives()));
    }

    void accept(const std::string &id, std::unique_ptr<cell::wire::StepT> step, base::SteadyTime at, const std::string &queue = "wide")
    {
        this->state.apply(support::accept(support::job(id, std::move(step), queue)));
        this->acceptedAt[this->state.jobNamed(id)->number] = at;
    }

    std::vector<ReadyStep> ready(base::SteadyTime now, bool inArrivalOrder = false) const
    {
        std::vector<ReadyStep> steps = cell::planning::readySteps(this->state);
        if (!inArrivalOrder) {
            cell::planning::WaitingOrder(this->acceptedAt, now).sort(steps);
        }
        return steps;
    }

    std::vector<std::string> order(base::SteadyTime now) const
    {
        std::vector<std::string> ids;
        for (const ReadyStep &step : this->ready(now)) {
            ids.push_back(step.job->spec->id);
        }
        return ids;
    }
};

/// Simulates a burst of wide jobs that overloads a cell; returns how many of them end within their objective.
int countOnTime(bool inArrivalOrder)
{
    WaitingJobs jobs;
    std::map<std::uint64_t, base::SteadyTime> endsAt;
    std::int64_t free = CellCpuMillis;
    int onTime = 0;
    int number = 0;
    // For 8 s, twice the work that the cell can do: four jobs a second, of 10 to 40 core-seconds each, whose tasks take 2 s.
    for (base::SteadyTime now = Start; now < Start + 40s; now += 100ms) {
        for (; number < 32 && Start + number * 250ms <= now; ++number) {
            jobs.accept("job" + std::to_string(number), stepOf(static_cast<std::uint32_t>(5 * (1 + number % 4)), 1000, 2s), now);
        }
        for (auto at = endsAt.begin(); at != endsAt.end();) {
            const cell::wire::JobT &job = *jobs.state.job(at->first);
            if (at->second > now) {
                ++at;
                continue;
            }
            const auto tasks = static_cast<std::uint32_t>(job.spec->steps.front()->tasks);
            for (std::uint32_t task = 0; task < tasks; ++task) {
                jobs.state.apply(support::end(support::key(at->first, 0, task), 1, 1, cell::wire::EndKind::Done));
            }
            free += 1000 * static_cast<std::int64_t>(tasks);
            onTime += now - jobs.acceptedAt.at(at->first) <= 2 * 2s + 1s ? 1 : 0;
            at = endsAt.erase(at);
        }
        for (const ReadyStep &step : jobs.ready(now, inArrivalOrder)) {
            const std::int64_t wanted = 1000 * static_cast<std::int64_t>(step.waiting.size());
            if (wanted > free) {
                break;
            }
            for (const std::uint32_t task : step.waiting) {
                jobs.state.apply(support::place({step.key, task}, 1, 1));
            }
            free -= wanted;
            endsAt[step.key.job] = now + 2s;
        }
    }
    return onTime;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingOrderTest)

BOOST_AUTO_TEST_CASE(stepsOfHigherPriorityQueuesGoFirst)
{
    WaitingJobs jobs;
    jobs.accept("wide", stepOf(1, 1000, 1s), Start);
    jobs.accept("quick", stepOf(9, 9000, 9s), Start, "quick");
    BOOST_TEST((jobs.order(Start) == std::vector<std::string>{"quick", "wide"}));
}

BOOST_AUTO_TEST_CASE(jobsThatCanMeetTheirObjectiveGoBeforeLateOnes)
{
    WaitingJobs jobs;
    jobs.accept("hopeless", stepOf(1, 1000, 1s), Start - 30s);
    jobs.accept("late", stepOf(1, 1000, 1s), Start - 4s);
    jobs.accept("fresh", stepOf(4, 4000, 4s), Start);
    BOOST_TEST((jobs.order(Start) == std::vector<std::string>{"fresh", "late", "hopeless"}));
}

BOOST_AUTO_TEST_CASE(theLeastRemainingWorkGoesFirstAndThenTheOlderJob)
{
    WaitingJobs jobs;
    jobs.accept("large", stepOf(8, 1000, 1s), Start);
    jobs.accept("small", stepOf(2, 1000, 1s), Start);
    jobs.accept("twin", stepOf(2, 1000, 1s), Start);
    BOOST_TEST((jobs.order(Start) == std::vector<std::string>{"small", "twin", "large"}));
}

BOOST_AUTO_TEST_CASE(aJobOfUnknownAgeCountsAsOnTime)
{
    WaitingJobs jobs;
    jobs.accept("late", stepOf(1, 1000, 1s), Start - 4s);
    jobs.accept("adopted", stepOf(1, 1000, 1s), Start);
    jobs.acceptedAt.erase(jobs.state.jobNamed("adopted")->number);
    BOOST_TEST((jobs.order(Start) == std::vector<std::string>{"adopted", "late"}));
}

BOOST_AUTO_TEST_CASE(moreJobsMeetTheirObjectiveThanInArrivalOrder)
{
    const int byArrival = countOnTime(true);
    const int ordered = countOnTime(false);
    BOOST_TEST_MESSAGE("jobs on time: " << byArrival << " in arrival order, " << ordered << " sorted, of 32");
    BOOST_TEST(ordered > byArrival);
    BOOST_TEST(2 * ordered >= 32);
}

BOOST_AUTO_TEST_SUITE_END()
