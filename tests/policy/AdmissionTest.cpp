#include "policy/ZoneFixture.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;

namespace
{

constexpr model::Resources Size{1000, 1024, 0};

struct AdmissionFixture : ZoneFixture {
    AdmissionFixture()
    {
        this->addVm("vm1", {64000, 65536, 0}, 1);
    }

    base::ResultCode enqueueRequest(int number)
    {
        auto request = spec(fmt::format("r{}", number), model::JobKind::Request, Size);
        request.deadline = 10s;
        return this->enqueue(request);
    }

    /// Starts and ends every task that fits, `rounds` times, one round every `interval`.
    void drain(int rounds, std::chrono::milliseconds interval)
    {
        for (int i = 0; i < rounds; ++i) {
            for (const Decision &decision : this->planAndStart()) {
                this->endTask(decision.job, decision.task);
            }
            this->now += interval;
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionTest, AdmissionFixture)

BOOST_AUTO_TEST_CASE(burstIsAcceptedBeforeTheDrainRateIsKnown)
{
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST((this->enqueueRequest(i) == base::ResultCode::Ok));
    }
}

BOOST_AUTO_TEST_CASE(burstIsAcceptedAfterAQuietPeriodWithFewStarts)
{
    for (int i = 0; i < 10; ++i) {
        this->enqueueRequest(i);
        this->drain(1, 1s);
    }
    for (int i = 100; i < 200; ++i) {
        BOOST_TEST((this->enqueueRequest(i) == base::ResultCode::Ok));
    }
}

BOOST_AUTO_TEST_CASE(requestsAreAcceptedDuringAStall)
{
    this->planner->setUpstream({"vm1-up", "vm1", "", 1, false}, this->now);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((this->enqueueRequest(i) == base::ResultCode::Ok));
        this->now += 200ms;
    }
}

BOOST_AUTO_TEST_CASE(requestIsAcceptedWhenTheQueueDrainsAgainAfterAStall)
{
    for (int i = 0; i < 200; ++i) {
        this->enqueueRequest(i);
    }
    this->drain(10, 200ms);
    this->now += 3s;
    this->drain(10, 1ms);
    BOOST_TEST((this->enqueueRequest(300) == base::ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(requestIsRefusedWhenTheQueueDrainsTooSlowly)
{
    for (int i = 0; i < 100; ++i) {
        this->enqueueRequest(i);
    }
    this->drain(10, 400ms);
    BOOST_TEST((this->enqueueRequest(100) == base::ResultCode::DeadlineUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()
