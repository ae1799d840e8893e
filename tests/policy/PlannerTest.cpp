#include "ZoneFixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;
using model::JobKind;

namespace
{

constexpr model::Resources Small{1000, 1024, 0};
constexpr model::Resources VmSize{8000, 8192, 0};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlannerTest, ZoneFixture)

BOOST_AUTO_TEST_CASE(startsEveryKindWhereItFits)
{
    this->addVm("vm1", VmSize);
    for (const auto kind : {JobKind::Request, JobKind::Service, JobKind::Batch, JobKind::Gang}) {
        BOOST_TEST((this->enqueue(spec("j" + std::to_string(static_cast<int>(kind)), kind, Small, 2)) == base::ResultCode::Ok));
    }
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 8U);
    BOOST_TEST(this->plan().empty());
}

BOOST_AUTO_TEST_CASE(neverFillsAVmSharedByTwoUpstreams)
{
    this->addVm("vm1", VmSize);
    this->planner->setUpstream({"second", "vm1", "", 8, true}, this->now);
    BOOST_TEST((this->enqueue(spec("j", JobKind::Batch, {3000, 1024, 0}, 5)) == base::ResultCode::Ok));
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 2U);
    this->endTask("j", 0);
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 1U);
}

BOOST_AUTO_TEST_CASE(neverExceedsSlots)
{
    this->addVm("vm1", VmSize, 3);
    this->enqueue(spec("j", JobKind::Batch, {100, 10, 0}, 5));
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 3U);
}

BOOST_AUTO_TEST_CASE(refusesJobsThatNeverFit)
{
    this->addVm("vm1", VmSize);
    BOOST_TEST((this->enqueue(spec("j", JobKind::Batch, {9000, 1, 0})) == base::ResultCode::NeverFits));
    BOOST_TEST((this->enqueue(spec("g", JobKind::Gang, {5000, 1, 0}, 2)) == base::ResultCode::NeverFits));
    BOOST_TEST((this->enqueue(spec("ok", JobKind::Gang, {4000, 1, 0}, 2)) == base::ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(refusesWaitingWorkWhenTheRegisterShrinks)
{
    this->addVm("small", VmSize);
    this->planner->setVm({"big", "r1", {64000, 65536, 0}, false});
    BOOST_TEST((this->enqueue(spec("j", JobKind::Batch, {32000, 1024, 0})) == base::ResultCode::Ok));
    BOOST_TEST(this->plan().empty());
    this->planner->removeVm("big");
    const auto decisions = this->plan();
    BOOST_REQUIRE(count(decisions, DecisionKind::Refuse, "j") == 1U);
    BOOST_TEST((decisions.front().code == base::ResultCode::NeverFits));
}

BOOST_AUTO_TEST_CASE(upstreamThatStopsAcceptingGetsNoWork)
{
    this->addVm("vm1", VmSize);
    this->addVm("vm2", VmSize);
    this->planner->setUpstream({"vm1-up", "vm1", "", 8, false}, this->now);
    this->enqueue(spec("j", JobKind::Batch, Small, 12));
    for (const Decision &decision : this->plan()) {
        BOOST_TEST(decision.upstream == "vm2-up");
    }
}

BOOST_AUTO_TEST_CASE(jobRunsOnlyOnUpstreamsOfItsService)
{
    this->addVm("vm1", VmSize, 8, "r1", "");
    this->addVm("vm2", VmSize, 8, "r1", "cold");
    auto work = spec("j", JobKind::Batch, Small, 3);
    work.service = "cold";
    this->enqueue(work);
    const auto decisions = this->plan();
    BOOST_TEST(decisions.size() == 3U);
    for (const Decision &decision : decisions) {
        BOOST_TEST(decision.upstream == "vm2-up");
    }
}

BOOST_AUTO_TEST_CASE(refusedStartIsRequeued)
{
    this->addVm("vm1", VmSize);
    this->enqueue(spec("j", JobKind::Batch, Small));
    this->plan();
    this->endTask("j", 0, TaskEnd::NotStarted);
    this->now += 10s;
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "j") == 1U);
}

BOOST_AUTO_TEST_CASE(failedTaskIsRequeuedOnlyOnDemand)
{
    this->addVm("vm1", VmSize);
    this->enqueue(spec("once", JobKind::Batch, Small));
    this->enqueue(spec("twice", JobKind::Batch, Small));
    this->planAndStart();
    this->endTask("once", 0, TaskEnd::Failed, false);
    this->endTask("twice", 0, TaskEnd::Failed, true);
    const auto decisions = this->plan();
    BOOST_TEST(count(decisions, DecisionKind::Start, "once") == 0U);
    BOOST_TEST(count(decisions, DecisionKind::Start, "twice") == 1U);
}

BOOST_AUTO_TEST_CASE(cancelDropsWaitingTasksAndKeepsReservationsOfRunningOnes)
{
    this->addVm("vm1", VmSize);
    this->enqueue(spec("j", JobKind::Batch, {4000, 1024, 0}, 4));
    this->planAndStart();
    this->planner->cancel("j", this->now);
    this->enqueue(spec("k", JobKind::Batch, {4000, 1024, 0}, 2));
    BOOST_TEST(this->plan().empty());
    this->endTask("j", 0, TaskEnd::Failed);
    this->endTask("j", 1, TaskEnd::Failed);
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "k") == 2U);
}

BOOST_AUTO_TEST_CASE(cancelRevokesAPendingStart)
{
    this->addVm("vm1", VmSize);
    this->enqueue(spec("g", JobKind::Gang, Small, 8));
    BOOST_TEST(this->plan(3).size() == 3U);
    this->planner->cancel("g", this->now);
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 0U);
    for (std::uint32_t task = 0; task < 3; ++task) {
        this->endTask("g", task, TaskEnd::Failed);
    }
    this->enqueue(spec("k", JobKind::Gang, Small, 8));
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "k") == 8U);
}

BOOST_AUTO_TEST_CASE(adoptedTasksHoldTheirReservationAndAreNotStartedAgain)
{
    this->addVm("vm1", VmSize);
    const auto job = spec("j", JobKind::Batch, {4000, 1024, 0}, 3);
    this->planner->adoptTask(job, 1, "vm1-up", {4000, 1024, 0}, this->now);
    this->planner->restore(job, this->now);
    this->endTask("j", 0);
    const auto decisions = this->plan();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions[0].task == 2U);
    BOOST_TEST(this->plan().empty());
}

BOOST_AUTO_TEST_CASE(requestThatCannotMeetItsDeadlineIsRefused)
{
    this->addVm("vm1", VmSize);
    this->enqueue(spec("busy", JobKind::Service, VmSize));
    this->planAndStart();
    auto request = spec("r", JobKind::Request, Small);
    request.deadline = 2s;
    request.runTime = 500ms;
    BOOST_TEST((this->enqueue(request) == base::ResultCode::Ok));
    BOOST_TEST(this->plan().empty());
    this->now += 1501ms;
    const auto decisions = this->plan();
    BOOST_REQUIRE(count(decisions, DecisionKind::Refuse, "r") == 1U);
    BOOST_TEST((decisions[0].code == base::ResultCode::DeadlineUnreachable));
}

BOOST_AUTO_TEST_CASE(queuesAreBoundedByPartnerAndKind)
{
    this->addVm("vm1", VmSize);
    this->planner->setRules({Profile::WaitingTime, {{"a", 1.0, "", {}, true, 10}}, 60s});
    BOOST_TEST((this->enqueue(spec("j1", JobKind::Batch, Small, 10)) == base::ResultCode::Ok));
    BOOST_TEST((this->enqueue(spec("j2", JobKind::Batch, Small)) == base::ResultCode::QueueFull));
    BOOST_TEST((this->enqueue(spec("j3", JobKind::Request, Small)) == base::ResultCode::Ok));
    BOOST_TEST((this->enqueue(spec("j4", JobKind::Batch, Small, 1, "b")) == base::ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(hardQuotaBoundsAPartnerAndItsGroup)
{
    this->addVm("vm1", VmSize);
    this->planner->setRules(
        {Profile::WaitingTime, {{"g", 1.0, "", {3000, 0, 0}, false, 100}, {"a", 1.0, "g", {}, true, 100}, {"b", 1.0, "g", {}, true, 100}}, 60s});
    this->enqueue(spec("ja", JobKind::Batch, Small, 4, "a"));
    this->enqueue(spec("jb", JobKind::Batch, Small, 4, "b"));
    this->enqueue(spec("jc", JobKind::Batch, Small, 4, "c"));
    const auto decisions = this->plan();
    BOOST_TEST(count(decisions, DecisionKind::Start, "ja") + count(decisions, DecisionKind::Start, "jb") == 3U);
    BOOST_TEST(count(decisions, DecisionKind::Start, "jc") == 4U);
    BOOST_TEST((this->enqueue(spec("big", JobKind::Batch, {3001, 1, 0}, 1, "a")) == base::ResultCode::QuotaExceeded));
    BOOST_TEST(this->planner->explain("ja", this->now).find("quota of g") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(servicesSpreadOverRacks)
{
    for (int rack = 0; rack < 3; ++rack) {
        for (int vm = 0; vm < 2; ++vm) {
            this->addVm("vm" + std::to_string(rack) + std::to_string(vm), VmSize, 8, "r" + std::to_string(rack));
        }
    }
    this->enqueue(spec("s", JobKind::Service, Small, 6));
    std::multiset<char> racks;
    std::set<std::string> upstreams;
    for (const Decision &decision : this->plan()) {
        racks.insert(decision.upstream[2]);
        upstreams.insert(decision.upstream);
    }
    BOOST_TEST(racks.count('0') == 2U);
    BOOST_TEST(racks.count('1') == 2U);
    BOOST_TEST(racks.count('2') == 2U);
    BOOST_TEST(upstreams.size() == 6U);
}

BOOST_AUTO_TEST_CASE(cpuWorkAvoidsAcceleratorVms)
{
    this->addVm("gpu", {8000, 8192, 4}, 16);
    this->addVm("plain", VmSize, 16);
    this->enqueue(spec("j", JobKind::Batch, Small, 8));
    for (const Decision &decision : this->plan()) {
        BOOST_TEST(decision.upstream == "plain-up");
    }
    this->enqueue(spec("k", JobKind::Batch, {1000, 1024, 1}, 4));
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "k") == 4U);
}

BOOST_AUTO_TEST_CASE(loadReportsFreeSlotsAndWait)
{
    this->addVm("vm1", VmSize);
    BOOST_TEST(this->planner->load(this->now).freeRequestSlots == 8U);
    for (int i = 0; i < 20; ++i) {
        this->enqueue(spec("r" + std::to_string(i), JobKind::Request, Small));
    }
    this->planAndStart();
    const LoadView load = this->planner->load(this->now);
    BOOST_TEST(load.used == 1.0);
    BOOST_TEST(load.waiting == 12U);
    BOOST_TEST(load.freeRequestSlots == 0U);
    BOOST_TEST(load.expectedWait.count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
