#include "ZoneFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;
using model::JobKind;

namespace
{

constexpr model::Resources Core{1000, 1024, 0};

struct FaultsFixture : ZoneFixture {
    std::uint32_t submitted = 0;

    void addVms(int vmCount)
    {
        for (int vm = 0; vm < vmCount; ++vm) {
            this->addVm("vm" + std::to_string(vm), {4000, 4096, 0}, 4);
        }
    }

    /// Submits one-task jobs and ends each start at once: as failed on the upstreams in `failing`, as done elsewhere. Returns the number of starts by
    /// upstream.
    std::map<std::string, std::uint32_t> runJobs(std::uint32_t jobs, const std::set<std::string> &failing, bool sameName = false)
    {
        std::map<std::string, std::uint32_t> starts;
        for (std::uint32_t i = 0; i < jobs; ++i) {
            auto job = spec("j" + std::to_string(this->submitted), JobKind::Batch, Core);
            job.name = sameName ? "same" : "n" + std::to_string(this->submitted % 50);
            ++this->submitted;
            this->enqueue(job);
            this->now += 10ms;
            for (const Decision &decision : this->planAndStart()) {
                ++starts[decision.upstream];
                const bool fails = failing.count(decision.upstream) != 0;
                this->endTask(decision.job, decision.task, fails ? TaskEnd::Failed : TaskEnd::Done);
            }
        }
        return starts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FaultsTest, FaultsFixture)

BOOST_AUTO_TEST_CASE(failingUpstreamIsExcluded)
{
    this->addVms(5);
    const auto starts = this->runJobs(500, {"vm0-up"});
    BOOST_TEST(starts.count("vm0-up") * starts.at("vm0-up") <= 10U);
}

BOOST_AUTO_TEST_CASE(excludedUpstreamIsProbedAndOpensAgain)
{
    this->addVms(2);
    this->runJobs(100, {"vm0-up", "nothing"});
    this->now += 1h;
    const auto probed = this->runJobs(200, {});
    BOOST_TEST(probed.count("vm0-up") == 1U);
    this->enqueue(spec("wide", JobKind::Batch, Core, 8));
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "wide") >= 5U);
}

BOOST_AUTO_TEST_CASE(probeStartsOneTaskAtATime)
{
    this->addVms(2);
    this->runJobs(100, {"vm0-up"});
    this->now += 1h;
    this->enqueue(spec("wide", JobKind::Batch, Core, 8));
    std::size_t onFailing = 0;
    for (const Decision &decision : this->planAndStart()) {
        onFailing += decision.upstream == "vm0-up" ? 1 : 0;
    }
    BOOST_TEST(onFailing <= 1U);
}

BOOST_AUTO_TEST_CASE(zoneWideFaultLeavesTheZoneOpen)
{
    this->addVms(9);
    std::set<std::string> all;
    for (int vm = 0; vm < 9; ++vm) {
        all.insert("vm" + std::to_string(vm) + "-up");
    }
    this->runJobs(300, all);
    this->enqueue(spec("wide", JobKind::Batch, Core, 36));
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "wide") >= 24U);
}

BOOST_AUTO_TEST_CASE(workThatFailsEverywhereExcludesNoUpstream)
{
    this->addVms(3);
    this->runJobs(60, {"vm0-up", "vm1-up", "vm2-up"}, true);
    this->enqueue(spec("wide", JobKind::Batch, Core, 12));
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "wide") >= 8U);
}

BOOST_AUTO_TEST_CASE(refusedStartsAreNotRepeatedAtOnceOnTheSameUpstream)
{
    this->addVms(1);
    this->enqueue(spec("j", JobKind::Batch, Core));
    std::size_t starts = 0;
    for (int i = 0; i < 1000; ++i) {
        this->now += 1ms;
        for (const Decision &decision : this->plan()) {
            ++starts;
            this->endTask(decision.job, decision.task, TaskEnd::NotStarted);
        }
    }
    BOOST_TEST(starts <= 5U);
    BOOST_TEST(starts >= 2U);
}

BOOST_AUTO_TEST_CASE(drainingMovesServiceTasksOneAtATime)
{
    this->addVms(1);
    this->enqueue(spec("s", JobKind::Service, Core, 3));
    this->planAndStart();
    this->addVm("other", {4000, 4096, 0}, 4);
    this->planner->setVm({"vm0", "r1", {4000, 4096, 0}, true});
    std::size_t moved = 0;
    for (int round = 0; round < 10; ++round) {
        this->now += 1s;
        const auto decisions = this->planAndStart();
        const auto preempted = count(decisions, DecisionKind::Preempt, "s");
        BOOST_TEST(preempted <= 1U);
        moved += preempted;
        for (const Decision &decision : decisions) {
            if (decision.kind == DecisionKind::Preempt) {
                this->endTask("s", decision.task, TaskEnd::Preempted);
            } else {
                BOOST_TEST(decision.upstream == "other-up");
            }
        }
    }
    BOOST_TEST(moved == 3U);
}

BOOST_AUTO_TEST_CASE(usageAboveTheReservationThrottlesThenMovesTheTask)
{
    this->addVms(1);
    this->enqueue(spec("j", JobKind::Batch, Core, 4));
    this->planAndStart();
    this->planner->reportUsage("j", 0, {1000, 2048, 0}, this->now);
    BOOST_TEST(count(this->plan(), DecisionKind::Throttle, "j") == 1U);
    this->planner->reportUsage("j", 0, {1000, 2048, 0}, this->now);
    BOOST_TEST(count(this->plan(), DecisionKind::Preempt, "j") == 1U);
}

BOOST_AUTO_TEST_CASE(usageAboveTheReservationTakesFreeCapacityFirst)
{
    this->addVms(1);
    this->enqueue(spec("j", JobKind::Batch, Core, 2));
    this->planAndStart();
    this->planner->reportUsage("j", 0, {3000, 2048, 0}, this->now);
    this->enqueue(spec("k", JobKind::Batch, Core, 1));
    BOOST_TEST(this->plan().empty());
}

BOOST_AUTO_TEST_CASE(sizesAreLearnedFromUsage)
{
    this->addVms(1);
    for (int i = 0; i < 20; ++i) {
        const std::string id = "j" + std::to_string(i);
        this->enqueue(spec(id, JobKind::Batch, Core));
        this->planAndStart();
        this->planner->reportUsage(id, 0, {1900, 1024, 0}, this->now);
        this->now += 1s;
        this->endTask(id);
    }
    this->enqueue(spec("next", JobKind::Batch, Core, 4));
    const auto decisions = this->plan();
    BOOST_TEST(decisions.size() == 2U);
    BOOST_TEST(decisions.front().reserved.cpuMillis >= 1900);
}

BOOST_AUTO_TEST_CASE(massCancellationLeavesOtherWork)
{
    this->addVms(2);
    this->enqueue(spec("busy", JobKind::Service, Core, 8));
    this->planAndStart();
    for (int i = 0; i < 9000; ++i) {
        this->enqueue(spec("w" + std::to_string(i), JobKind::Batch, Core, 1, "a"));
    }
    this->enqueue(spec("kept", JobKind::Batch, Core, 1, "a"));
    for (int i = 0; i < 9000; ++i) {
        this->planner->cancel("w" + std::to_string(i), this->now);
    }
    this->endTask("busy", 0);
    const auto decisions = this->plan();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions[0].job == "kept");
    BOOST_TEST(this->planner->load(this->now).waiting == 0U);
}

BOOST_AUTO_TEST_CASE(massCancellationExcludesNoUpstream)
{
    this->addVm("wave1", {64000, 65536, 0}, 16);
    this->enqueue(spec("wave", JobKind::Batch, {1000, 1024, 0}, 16));
    this->planAndStart();
    this->planner->cancel("wave", this->now);
    for (std::uint32_t task = 0; task < 16; ++task) {
        this->endTask("wave", task, TaskEnd::Stopped);
    }
    this->enqueue(spec("next", JobKind::Batch, {1000, 1024, 0}, 16));
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "next") == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
