#include "cell/WaitingOrder.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace cranberryreel;
using cell::CellState;
using cell::ReadyStep;
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

std::unique_ptr<cell::wire::StepT> timed(std::uint32_t tasks, std::uint32_t cpuMillis, milliseconds estimate)
{
    auto step = support::step(tasks, cpuMillis);
    step->estimate_ms = static_cast<std::uint32_t>(estimate.count());
    return step;
}

struct Queue {
    CellState state;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt;

    Queue()
    {
        this->state.apply(support::put(rulesWithObjectives()));
    }

    void accept(const std::string &id, std::unique_ptr<cell::wire::StepT> step, base::SteadyTime at, const std::string &queue = "wide")
    {
        this->state.apply(support::accept(support::job(id, std::move(step), queue)));
        this->acceptedAt[this->state.jobNamed(id)->number] = at;
    }

    std::vector<ReadyStep> ready(base::SteadyTime now, bool byArrival = false) const
    {
        std::vector<ReadyStep> steps = cell::readySteps(this->state);
        if (!byArrival) {
            cell::WaitingOrder(this->acceptedAt, now).sort(steps);
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

/// Serves a burst of wide jobs on a cell that it overloads: how many of them end within their objective.
int endInTime(bool byArrival)
{
    Queue queue;
    std::map<std::uint64_t, base::SteadyTime> endsAt;
    std::int64_t free = CellCpuMillis;
    int inTime = 0;
    int number = 0;
    // Twice what the cell can do for 8 s: each second four jobs of 10 to 40 core-seconds, all of 2 s.
    for (base::SteadyTime now = Start; now < Start + 40s; now += 100ms) {
        for (; number < 32 && Start + number * 250ms <= now; ++number) {
            queue.accept("job" + std::to_string(number), timed(static_cast<std::uint32_t>(5 * (1 + number % 4)), 1000, 2s), now);
        }
        for (auto at = endsAt.begin(); at != endsAt.end();) {
            const cell::wire::JobT &job = *queue.state.job(at->first);
            if (at->second > now) {
                ++at;
                continue;
            }
            const auto tasks = static_cast<std::uint32_t>(job.spec->steps.front()->tasks);
            for (std::uint32_t task = 0; task < tasks; ++task) {
                queue.state.apply(support::end(support::key(at->first, 0, task), 1, 1, cell::wire::EndKind::Done));
            }
            free += 1000 * static_cast<std::int64_t>(tasks);
            inTime += now - queue.acceptedAt.at(at->first) <= 2 * 2s + 1s ? 1 : 0;
            at = endsAt.erase(at);
        }
        for (const ReadyStep &step : queue.ready(now, byArrival)) {
            const std::int64_t wanted = 1000 * static_cast<std::int64_t>(step.waiting.size());
            if (wanted > free) {
                break;
            }
            for (const std::uint32_t task : step.waiting) {
                queue.state.apply(support::place({step.key, task}, 1, 1));
            }
            free -= wanted;
            endsAt[step.key.job] = now + 2s;
        }
    }
    return inTime;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingOrderTest)

BOOST_AUTO_TEST_CASE(thePriorityOfTheQueueGoesFirst)
{
    Queue queue;
    queue.accept("wide", timed(1, 1000, 1s), Start);
    queue.accept("quick", timed(9, 9000, 9s), Start, "quick");
    BOOST_TEST((queue.order(Start) == std::vector<std::string>{"quick", "wide"}));
}

BOOST_AUTO_TEST_CASE(whatCanStillBeInTimeGoesBeforeWhatIsLateAnyway)
{
    Queue queue;
    queue.accept("hopeless", timed(1, 1000, 1s), Start - 30s);
    queue.accept("late", timed(1, 1000, 1s), Start - 4s);
    queue.accept("fresh", timed(4, 4000, 4s), Start);
    BOOST_TEST((queue.order(Start) == std::vector<std::string>{"fresh", "late", "hopeless"}));
}

BOOST_AUTO_TEST_CASE(theLeastWorkLeftGoesFirstAndThenTheOlder)
{
    Queue queue;
    queue.accept("large", timed(8, 1000, 1s), Start);
    queue.accept("small", timed(2, 1000, 1s), Start);
    queue.accept("twin", timed(2, 1000, 1s), Start);
    BOOST_TEST((queue.order(Start) == std::vector<std::string>{"small", "twin", "large"}));
}

BOOST_AUTO_TEST_CASE(aJobWhoseAgeIsNotKnownCountsAsFresh)
{
    Queue queue;
    queue.accept("late", timed(1, 1000, 1s), Start - 4s);
    queue.accept("adopted", timed(1, 1000, 1s), Start);
    queue.acceptedAt.erase(queue.state.jobNamed("adopted")->number);
    BOOST_TEST((queue.order(Start) == std::vector<std::string>{"adopted", "late"}));
}

BOOST_AUTO_TEST_CASE(inABurstMoreJobsEndInTimeThanInTheOrderOfArrival)
{
    const int byArrival = endInTime(true);
    const int ordered = endInTime(false);
    BOOST_TEST_MESSAGE("in time: " << byArrival << " by arrival, " << ordered << " ordered, of 32");
    BOOST_TEST(ordered > byArrival);
    BOOST_TEST(2 * ordered >= 32);
}

BOOST_AUTO_TEST_SUITE_END()
