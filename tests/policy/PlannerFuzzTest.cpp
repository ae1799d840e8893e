#include "MutatedPlanner.h"
#include "ZoneOracle.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <random>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;
using model::JobKind;

namespace
{

constexpr std::size_t EventsPerRun = 200;
constexpr std::size_t RunsPerMutation = 40;
constexpr std::size_t MaxFinishRounds = 400;

/// Applies the same random events to a planner and to the oracle. Runs differ only in their seed and mutation.
class FuzzRun
{
public:
    FuzzRun(Mutation mutation, std::uint64_t seed)
        : planner(mutation)
        , random(seed)
    {
        this->planner.setRules(
            {Profile::WaitingTime, {{"a", 2.0, "", {}, true, 1000}, {"g", 1.0, "", {40000, 0, 0}, false, 1000}, {"b", 1.0, "g", {}, true, 1000}}, 10s});
        for (std::size_t i = 0; i < 6; ++i) {
            this->setVm(i, false);
            this->setUpstream(i, true);
        }
    }

    /// Returns the first violated invariant, or nothing.
    std::optional<std::string> run()
    {
        for (std::size_t event = 0; event < EventsPerRun && !this->violation; ++event) {
            this->now += std::chrono::milliseconds(this->randomBelow(2000));
            this->randomEvent();
            this->plan();
        }
        if (!this->violation) {
            this->finishAllWork();
        }
        return this->violation;
    }

private:
    std::uint32_t randomBelow(std::uint32_t below)
    {
        return static_cast<std::uint32_t>(this->random() % below);
    }

    void setVm(std::size_t i, bool draining)
    {
        const VmView vm{
            "vm" + std::to_string(i), "r" + std::to_string(i / 2), {8000 + 8000 * static_cast<std::int64_t>(i % 3), 16384, i == 5 ? 4 : 0}, draining};
        this->planner.setVm(vm);
        this->oracle.setVm(vm);
    }

    void setUpstream(std::size_t i, bool accepting)
    {
        const UpstreamView upstream{"up" + std::to_string(i), "vm" + std::to_string(i % 6), i % 6 == 2 ? "cold" : "", 4, accepting};
        this->planner.setUpstream(upstream, this->now);
        this->oracle.setUpstream(upstream);
    }

    void submit()
    {
        model::JobSpec spec;
        spec.id = "j" + std::to_string(this->submitted++);
        spec.kind = static_cast<JobKind>(this->randomBelow(4));
        spec.partner = this->randomBelow(2) == 0 ? "a" : (this->randomBelow(2) == 0 ? "b" : "c");
        spec.name = "n" + std::to_string(this->randomBelow(4));
        spec.service = spec.kind != JobKind::Gang && this->randomBelow(6) == 0 ? "cold" : "";
        spec.tasks = spec.kind == JobKind::Request ? 1 : 1 + this->randomBelow(6);
        spec.perTask = {100 + this->randomBelow(9000), 100 + this->randomBelow(9000), spec.service.empty() && this->randomBelow(10) == 0 ? 1 : 0};
        spec.priority = static_cast<std::int32_t>(this->randomBelow(3));
        spec.runTime = std::chrono::milliseconds(this->randomBelow(3) == 0 ? 0 : this->randomBelow(20000));
        spec.deadline = spec.kind == JobKind::Request ? std::chrono::milliseconds(1000 + this->randomBelow(30000)) : 0ms;
        if (this->planner.enqueue(spec, this->now).code == base::ResultCode::Ok) {
            this->oracle.jobAccepted(spec);
        }
    }

    void endRandomTask(TaskEnd end, bool requeue)
    {
        const auto running = this->oracle.runningTasks();
        if (running.empty()) {
            return;
        }
        const auto &[job, task] = running[this->randomBelow(static_cast<std::uint32_t>(running.size()))];
        this->planner.taskEnded(job, task, end, requeue, this->now);
        this->oracle.taskEnded(job, task, end, requeue);
    }

    void cancelRandomJob()
    {
        const auto &jobs = this->oracle.jobs();
        if (jobs.empty()) {
            return;
        }
        const auto chosen = std::next(jobs.begin(), this->randomBelow(static_cast<std::uint32_t>(jobs.size())));
        this->planner.cancel(chosen->first, this->now);
        this->oracle.jobCancelled(chosen->first);
    }

    void reportRandomUsage()
    {
        const auto running = this->oracle.runningTasks();
        if (running.empty()) {
            return;
        }
        const auto &[job, task] = running[this->randomBelow(static_cast<std::uint32_t>(running.size()))];
        const model::Resources used{this->randomBelow(12000), this->randomBelow(12000), 0};
        this->planner.reportUsage(job, task, used, this->now);
        this->oracle.usageReported(job, task, used);
    }

    void removeRandomVm()
    {
        const std::string vm = "vm" + std::to_string(this->randomBelow(6));
        this->planner.removeVm(vm);
        this->oracle.removeVm(vm);
    }

    void randomEvent()
    {
        switch (this->randomBelow(16)) {
        case 0:
            return this->setVm(this->randomBelow(6), this->randomBelow(2) == 0);
        case 1:
            return this->setUpstream(this->randomBelow(8), this->randomBelow(3) != 0);
        case 2:
            return this->randomBelow(3) == 0 ? this->removeRandomVm() : this->setVm(this->randomBelow(6), false);
        case 3:
            return this->cancelRandomJob();
        case 4:
            return this->reportRandomUsage();
        case 5:
            return this->endRandomTask(TaskEnd::Failed, this->randomBelow(2) == 0);
        case 6:
            return this->endRandomTask(this->randomBelow(2) == 0 ? TaskEnd::NotStarted : TaskEnd::Lost, this->randomBelow(2) == 0);
        case 7:
            return this->endRandomTask(TaskEnd::Preempted, false);
        case 8:
        case 9:
        case 10:
            return this->endRandomTask(TaskEnd::Done, false);
        default:
            return this->submit();
        }
    }

    void plan()
    {
        const std::size_t maxDecisions = 1 + this->randomBelow(8);
        std::size_t decided = maxDecisions;
        while (decided >= maxDecisions && !this->violation) {
            const std::vector<Decision> decisions = this->planner.plan(this->now, maxDecisions);
            decided = decisions.size();
            for (const Decision &decision : decisions) {
                this->applyDecision(decision);
            }
        }
        if (!this->violation) {
            this->violation = this->oracle.checkGangs();
        }
    }

    void applyDecision(const Decision &decision)
    {
        if (this->violation) {
            return;
        }
        this->violation = this->oracle.applyDecision(decision);
        if (!this->violation && decision.kind == DecisionKind::Start && this->randomBelow(8) != 0) {
            this->planner.taskStarted(decision.job, decision.task, this->now);
        }
    }

    /// Restores all VMs and upstreams and ends every running task. All accepted work must then finish.
    void finishAllWork()
    {
        for (std::size_t i = 0; i < 6; ++i) {
            this->setVm(i, false);
            this->setUpstream(i, true);
        }
        for (std::size_t round = 0; round < MaxFinishRounds && !this->violation; ++round) {
            this->now += 5min;
            this->plan();
            for (const auto &[job, task] : this->oracle.runningTasks()) {
                this->planner.taskEnded(job, task, TaskEnd::Done, false, this->now);
                this->oracle.taskEnded(job, task, TaskEnd::Done, false);
            }
            if (this->oracle.waitingJobCount() == 0) {
                return;
            }
        }
        if (!this->violation) {
            this->violation = "work waits forever in an idle zone:" + this->waitingReasons();
        }
    }

    std::string waitingReasons() const
    {
        std::string reasons;
        for (const auto &[id, job] : this->oracle.jobs()) {
            for (const ZoneOracle::Task &task : job.tasks) {
                if (task.phase == ZoneOracle::Task::Phase::Waiting) {
                    reasons += " " + id + " " + this->planner.explain(id, this->now);
                    break;
                }
            }
        }
        return reasons;
    }

    MutatedPlanner planner;
    ZoneOracle oracle;
    std::mt19937_64 random;
    base::SteadyTime now{std::chrono::hours(1)};
    std::size_t submitted = 0;
    std::optional<std::string> violation;
};

std::uint64_t testSeed()
{
    const char *seed = std::getenv("CRANBERRYREEL_TEST_SEED");
    return seed == nullptr ? 20261204 : std::strtoull(seed, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannerFuzzTest)

BOOST_AUTO_TEST_CASE(plannerKeepsEveryInvariant)
{
    BOOST_TEST_MESSAGE("seed " << testSeed());
    const bool holds = rc::check("the planner keeps every invariant of the oracle", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto violation = FuzzRun(Mutation::None, seed).run();
        if (violation) {
            RC_FAIL(*violation);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(oracleDetectsEveryMutation)
{
    for (auto mutation = Mutation::DoublesCapacity; mutation <= Mutation::RerunsFinishedTasks;
         mutation = static_cast<Mutation>(static_cast<int>(mutation) + 1)) {
        std::optional<std::string> detected;
        for (std::size_t run = 0; run < RunsPerMutation && !detected; ++run) {
            detected = FuzzRun(mutation, testSeed() + run).run();
        }
        BOOST_TEST_MESSAGE("mutation " << static_cast<int>(mutation) << ": " << detected.value_or("not detected"));
        BOOST_TEST(detected.has_value(), "mutation " << static_cast<int>(mutation) << " is not detected");
    }
}

BOOST_AUTO_TEST_SUITE_END()
