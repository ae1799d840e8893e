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

constexpr std::size_t StepsPerRun = 200;
constexpr std::size_t RunsPerMutation = 40;
constexpr std::size_t RoundsToFinish = 400;

/// Drives a planner and the oracle through the same random events; the generator is all that differs between runs.
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
            this->changeVm(i, false);
            this->changeUpstream(i, true);
        }
    }

    /// The first broken rule.
    std::optional<std::string> run()
    {
        for (std::size_t step = 0; step < StepsPerRun && !this->broken; ++step) {
            this->now += std::chrono::milliseconds(this->pick(2000));
            this->step();
            this->plan();
        }
        if (!this->broken) {
            this->finish();
        }
        return this->broken;
    }

private:
    std::uint32_t pick(std::uint32_t below)
    {
        return static_cast<std::uint32_t>(this->random() % below);
    }

    void changeVm(std::size_t i, bool draining)
    {
        const VmView vm{
            "vm" + std::to_string(i), "r" + std::to_string(i / 2), {8000 + 8000 * static_cast<std::int64_t>(i % 3), 16384, i == 5 ? 4 : 0}, draining};
        this->planner.setVm(vm);
        this->oracle.setVm(vm);
    }

    void changeUpstream(std::size_t i, bool accepting)
    {
        const UpstreamView upstream{"up" + std::to_string(i), "vm" + std::to_string(i % 6), i % 6 == 2 ? "cold" : "", 4, accepting};
        this->planner.setUpstream(upstream, this->now);
        this->oracle.setUpstream(upstream);
    }

    void submit()
    {
        model::JobSpec spec;
        spec.id = "j" + std::to_string(this->submitted++);
        spec.kind = static_cast<JobKind>(this->pick(4));
        spec.partner = this->pick(2) == 0 ? "a" : (this->pick(2) == 0 ? "b" : "c");
        spec.name = "n" + std::to_string(this->pick(4));
        spec.service = spec.kind != JobKind::Gang && this->pick(6) == 0 ? "cold" : "";
        spec.tasks = spec.kind == JobKind::Request ? 1 : 1 + this->pick(6);
        spec.perTask = {100 + this->pick(9000), 100 + this->pick(9000), spec.service.empty() && this->pick(10) == 0 ? 1 : 0};
        spec.priority = static_cast<std::int32_t>(this->pick(3));
        spec.runTime = std::chrono::milliseconds(this->pick(3) == 0 ? 0 : this->pick(20000));
        spec.deadline = spec.kind == JobKind::Request ? std::chrono::milliseconds(1000 + this->pick(30000)) : 0ms;
        if (this->planner.enqueue(spec, this->now).code == base::ResultCode::Ok) {
            this->oracle.accepted(spec);
        }
    }

    void endOne(TaskEnd end, bool again)
    {
        const auto running = this->oracle.running();
        if (running.empty()) {
            return;
        }
        const auto &[job, task] = running[this->pick(static_cast<std::uint32_t>(running.size()))];
        this->planner.ended(job, task, end, again, this->now);
        this->oracle.ended(job, task, end, again);
    }

    void cancelOne()
    {
        const auto &jobs = this->oracle.jobs();
        if (jobs.empty()) {
            return;
        }
        const auto chosen = std::next(jobs.begin(), this->pick(static_cast<std::uint32_t>(jobs.size())));
        this->planner.cancel(chosen->first, this->now);
        this->oracle.cancelled(chosen->first);
    }

    void reportOne()
    {
        const auto running = this->oracle.running();
        if (running.empty()) {
            return;
        }
        const auto &[job, task] = running[this->pick(static_cast<std::uint32_t>(running.size()))];
        const model::Resources used{this->pick(12000), this->pick(12000), 0};
        this->planner.usage(job, task, used, this->now);
        this->oracle.grown(job, task, used);
    }

    void removeOneVm()
    {
        const std::string vm = "vm" + std::to_string(this->pick(6));
        this->planner.removeVm(vm);
        this->oracle.removeVm(vm);
    }

    void step()
    {
        switch (this->pick(16)) {
        case 0:
            return this->changeVm(this->pick(6), this->pick(2) == 0);
        case 1:
            return this->changeUpstream(this->pick(8), this->pick(3) != 0);
        case 2:
            return this->pick(3) == 0 ? this->removeOneVm() : this->changeVm(this->pick(6), false);
        case 3:
            return this->cancelOne();
        case 4:
            return this->reportOne();
        case 5:
            return this->endOne(TaskEnd::Failed, this->pick(2) == 0);
        case 6:
            return this->endOne(this->pick(2) == 0 ? TaskEnd::NotStarted : TaskEnd::Lost, this->pick(2) == 0);
        case 7:
            return this->endOne(TaskEnd::Preempted, false);
        case 8:
        case 9:
        case 10:
            return this->endOne(TaskEnd::Done, false);
        default:
            return this->submit();
        }
    }

    void plan()
    {
        const std::size_t most = 1 + this->pick(8);
        std::size_t handedOut = most;
        while (handedOut >= most && !this->broken) {
            const std::vector<Decision> decisions = this->planner.plan(this->now, most);
            handedOut = decisions.size();
            for (const Decision &decision : decisions) {
                this->take(decision);
            }
        }
        if (!this->broken) {
            this->broken = this->oracle.settled();
        }
    }

    void take(const Decision &decision)
    {
        if (this->broken) {
            return;
        }
        this->broken = this->oracle.decided(decision);
        if (!this->broken && decision.kind == DecisionKind::Start && this->pick(8) != 0) {
            this->planner.started(decision.job, decision.task, this->now);
        }
    }

    /// Heals the zone and ends everything: all accepted work must come to an end.
    void finish()
    {
        for (std::size_t i = 0; i < 6; ++i) {
            this->changeVm(i, false);
            this->changeUpstream(i, true);
        }
        for (std::size_t round = 0; round < RoundsToFinish && !this->broken; ++round) {
            this->now += 5min;
            this->plan();
            for (const auto &[job, task] : this->oracle.running()) {
                this->planner.ended(job, task, TaskEnd::Done, false, this->now);
                this->oracle.ended(job, task, TaskEnd::Done, false);
            }
            if (this->oracle.waitingJobs() == 0) {
                return;
            }
        }
        if (!this->broken) {
            this->broken = "work waits for ever in an idle zone:" + this->waitingReasons();
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
    std::optional<std::string> broken;
};

std::uint64_t testSeed()
{
    const char *seed = std::getenv("CRANBERRYREEL_TEST_SEED");
    return seed == nullptr ? 20261204 : std::strtoull(seed, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannerFuzzTest)

BOOST_AUTO_TEST_CASE(keepsEveryRule)
{
    BOOST_TEST_MESSAGE("seed " << testSeed());
    const bool holds = rc::check("the planner keeps every rule of the oracle", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto broken = FuzzRun(Mutation::None, seed).run();
        if (broken) {
            RC_FAIL(*broken);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(everyMutationIsCaught)
{
    for (auto mutation = Mutation::CapacityTooLarge; mutation <= Mutation::RepeatsWhatIsDone;
         mutation = static_cast<Mutation>(static_cast<int>(mutation) + 1)) {
        std::optional<std::string> caught;
        for (std::size_t run = 0; run < RunsPerMutation && !caught; ++run) {
            caught = FuzzRun(mutation, testSeed() + run).run();
        }
        BOOST_TEST_MESSAGE("mutation " << static_cast<int>(mutation) << ": " << caught.value_or("not caught"));
        BOOST_TEST(caught.has_value(), "mutation " << static_cast<int>(mutation) << " is not caught");
    }
}

BOOST_AUTO_TEST_SUITE_END()
