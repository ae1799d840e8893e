#include "ZoneFixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;
using model::JobKind;

namespace
{

struct FairnessFixture : ZoneFixture {
    FairnessFixture()
    {
        for (int vm = 0; vm < 10; ++vm) {
            this->addVm("vm" + std::to_string(vm), {10000, 10240, 0}, 64);
        }
    }

    std::map<std::string, PartnerShare> rows()
    {
        std::map<std::string, PartnerShare> byPartner;
        for (const PartnerShare &row : this->planner->shares(this->now)) {
            byPartner[row.partner] = row;
        }
        return byPartner;
    }
};

constexpr model::Resources Core{1000, 512, 0};
constexpr model::Resources Memory{500, 1024, 0};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FairnessTest, FairnessFixture)

BOOST_AUTO_TEST_CASE(sharesFollowWeights)
{
    this->planner->setRules({Profile::WaitingTime, {{"a", 3.0, "", {}, true, 10000}, {"b", 1.0, "", {}, true, 10000}}, 60s});
    this->enqueue(spec("ja", JobKind::Batch, Core, 500, "a"));
    this->enqueue(spec("jb", JobKind::Batch, Core, 500, "b"));
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 100U);
    const auto rows = this->rows();
    BOOST_TEST(std::abs(rows.at("a").used - 0.75) < 0.011);
    BOOST_TEST(std::abs(rows.at("b").used - 0.25) < 0.011);
    BOOST_TEST(std::abs(rows.at("a").fairShare - 0.75) < 0.011);
    BOOST_TEST(rows.at("a").waiting + rows.at("a").running == 500U);
}

BOOST_AUTO_TEST_CASE(dominantSharesAreEqualForUnlikeWork)
{
    this->enqueue(spec("ja", JobKind::Batch, Core, 500, "a"));
    this->enqueue(spec("jb", JobKind::Batch, Memory, 500, "b"));
    this->plan();
    const auto rows = this->rows();
    BOOST_TEST(std::abs(rows.at("a").used - rows.at("b").used) < 0.011);
    BOOST_TEST(rows.at("a").used > 0.6);
}

BOOST_AUTO_TEST_CASE(capacityIsSharedByGroupThenByPartner)
{
    this->planner->setRules({Profile::WaitingTime, {{"a", 1.0, "g", {}, true, 10000}, {"b", 1.0, "g", {}, true, 10000}, {"c", 1.0, "", {}, true, 10000}}, 60s});
    for (const std::string partner : {"a", "b", "c"}) {
        this->enqueue(spec("j" + partner, JobKind::Batch, Core, 500, partner));
    }
    this->plan();
    const auto rows = this->rows();
    BOOST_TEST(std::abs(rows.at("a").used - 0.25) < 0.011);
    BOOST_TEST(std::abs(rows.at("c").used - 0.50) < 0.011);
}

BOOST_AUTO_TEST_CASE(lentCapacityIsReturnedWithinTheConfiguredTime)
{
    this->planner->setRules({Profile::WaitingTime, {}, 20s});
    auto borrowed = spec("ja", JobKind::Batch, Core, 500, "a");
    borrowed.runTime = 10h;
    this->enqueue(borrowed);
    BOOST_TEST(count(this->planAndStart(), DecisionKind::Start) == 100U);
    this->enqueue(spec("jb", JobKind::Batch, Core, 500, "b"));
    std::vector<std::pair<std::string, std::uint32_t>> stopping;
    const auto asked = this->now;
    while (this->now - asked < 20s) {
        this->now += 100ms;
        for (const auto &[job, task] : std::exchange(stopping, {})) {
            this->endTask(job, task, TaskEnd::Preempted);
        }
        for (const Decision &decision : this->planAndStart()) {
            BOOST_TEST((decision.kind != DecisionKind::Preempt || decision.job == "ja"));
            if (decision.kind == DecisionKind::Preempt) {
                stopping.emplace_back(decision.job, decision.task);
            }
        }
    }
    BOOST_TEST(std::abs(this->rows().at("b").used - 0.5) < 0.021);
}

BOOST_AUTO_TEST_CASE(floodOfRequestsDoesNotDelayAnotherPartner)
{
    for (int i = 0; i < 2000; ++i) {
        this->enqueue(spec("a" + std::to_string(i), JobKind::Request, Core, 1, "a"));
    }
    BOOST_TEST(count(this->planAndStart(), DecisionKind::Start) == 100U);
    this->enqueue(spec("b0", JobKind::Request, Core, 1, "b"));
    this->enqueue(spec("b1", JobKind::Request, Core, 1, "b"));
    this->now += 10ms;
    this->endTask("a0");
    this->endTask("a1");
    const auto decisions = this->planAndStart();
    BOOST_TEST(count(decisions, DecisionKind::Start, "b0") == 1U);
    BOOST_TEST(count(decisions, DecisionKind::Start, "b1") == 1U);
}

BOOST_AUTO_TEST_CASE(urgentWorkPreemptsBatchWork)
{
    this->enqueue(spec("batch", JobKind::Batch, Core, 200, "a"));
    this->planAndStart();
    this->now += 1s;
    auto request = spec("r", JobKind::Request, Core, 1, "a");
    request.deadline = 10s;
    this->enqueue(request);
    const auto decisions = this->planAndStart();
    BOOST_REQUIRE(count(decisions, DecisionKind::Preempt, "batch") == 1U);
    BOOST_TEST(this->planner->explain("r", this->now).find("checkpoint") != std::string::npos);
    this->endTask("batch", decisions.front().task, TaskEnd::Preempted);
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "r") == 1U);
}

BOOST_AUTO_TEST_CASE(partnerAtItsFairShareIsNotPreempted)
{
    this->enqueue(spec("ja", JobKind::Batch, Core, 500, "a"));
    this->enqueue(spec("jb", JobKind::Batch, Core, 500, "b"));
    this->planAndStart();
    for (int i = 0; i < 20; ++i) {
        this->enqueue(spec("r" + std::to_string(i), JobKind::Request, Core, 1, "a"));
    }
    this->now += 1s;
    const auto decisions = this->plan();
    BOOST_TEST(count(decisions, DecisionKind::Preempt, "jb") == 0U);
    BOOST_TEST(count(decisions, DecisionKind::Preempt, "ja") > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
