#include "ZoneFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;
using model::JobKind;

namespace
{

constexpr model::Resources Core{1000, 1024, 0};
constexpr model::Resources VmSize{4000, 4096, 0};

struct GangFixture : ZoneFixture {
    GangFixture()
    {
        for (int vm = 0; vm < 4; ++vm) {
            this->addVm("vm" + std::to_string(vm), VmSize, 16);
        }
    }

    void enqueueBatch(const std::string &id, std::uint32_t tasks, std::chrono::milliseconds runTime, const std::string &partner = "a")
    {
        auto job = spec(id, JobKind::Batch, Core, tasks, partner);
        job.runTime = runTime;
        job.name = id;
        this->enqueue(job);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GangTest, GangFixture)

BOOST_AUTO_TEST_CASE(gangStartsAsAWholeOrNotAtAll)
{
    this->enqueueBatch("busy", 9, 60s);
    this->planAndStart();
    this->enqueue(spec("g", JobKind::Gang, Core, 8, "b"));
    BOOST_TEST(this->plan().empty());
    this->endTask("busy", 0);
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "g") == 8U);
}

BOOST_AUTO_TEST_CASE(streamOfSmallTasksDoesNotStarveAGang)
{
    this->enqueueBatch("busy", 16, 20s);
    this->planAndStart();
    this->enqueue(spec("g", JobKind::Gang, Core, 8, "b"));
    this->plan();
    bool started = false;
    std::uint32_t next = 0;
    for (std::uint32_t task = 0; task < 16 && !started; ++task) {
        this->now += 1s;
        this->enqueueBatch("more" + std::to_string(next++), 1, 30s);
        this->endTask("busy", task);
        started = count(this->planAndStart(), DecisionKind::Start, "g") == 8U;
    }
    BOOST_TEST(started);
}

BOOST_AUTO_TEST_CASE(backfillEndsBeforeTheGangStarts)
{
    this->enqueueBatch("busy", 12, 60s);
    this->planAndStart();
    this->enqueue(spec("g", JobKind::Gang, Core, 16, "b"));
    this->plan();
    this->enqueueBatch("long", 2, 40s, "c");
    this->enqueueBatch("short", 2, 10s, "c");
    const auto decisions = this->planAndStart();
    BOOST_TEST(count(decisions, DecisionKind::Start, "long") == 0U);
    BOOST_TEST(count(decisions, DecisionKind::Start, "short") == 2U);
    BOOST_TEST(this->planner->explain("long", this->now).find("reserved for g") != std::string::npos);
    BOOST_TEST(this->planner->explain("g", this->now).find("Has 4 VMs reserved") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(cancelledGangReleasesItsVms)
{
    this->enqueueBatch("busy", 12, 60s);
    this->planAndStart();
    this->enqueue(spec("g", JobKind::Gang, Core, 16, "b"));
    this->plan();
    this->enqueueBatch("long", 4, 1h, "c");
    BOOST_TEST(this->plan().empty());
    this->planner->cancel("g", this->now);
    BOOST_TEST(count(this->plan(), DecisionKind::Start, "long") == 4U);
}

BOOST_AUTO_TEST_CASE(gangsNeverReserveInPart)
{
    this->enqueueBatch("busy", 8, 30s);
    this->planAndStart();
    this->enqueue(spec("g1", JobKind::Gang, Core, 12, "b"));
    this->enqueue(spec("g2", JobKind::Gang, Core, 12, "c"));
    BOOST_TEST(this->plan().empty());
    for (std::uint32_t task = 0; task < 8; ++task) {
        this->endTask("busy", task);
    }
    const auto started = this->planAndStart();
    const bool firstGangStarted = count(started, DecisionKind::Start, "g1") == 12U;
    BOOST_TEST((firstGangStarted || count(started, DecisionKind::Start, "g2") == 12U));
    BOOST_TEST(started.size() == 12U);
    for (std::uint32_t task = 0; task < 12; ++task) {
        this->endTask(firstGangStarted ? "g1" : "g2", task);
    }
    BOOST_TEST(count(this->plan(), DecisionKind::Start) == 12U);
}

BOOST_AUTO_TEST_CASE(starvingLargeTaskGetsAReservation)
{
    this->enqueueBatch("busy", 16, 20s);
    this->planAndStart();
    this->enqueue(spec("large", JobKind::Batch, VmSize, 1, "b"));
    bool started = false;
    std::uint32_t next = 0;
    for (std::uint32_t round = 0; round < 60 && !started; ++round) {
        this->now += 1s;
        this->enqueueBatch("more" + std::to_string(next++), 1, 30s);
        if (round < 16) {
            this->endTask("busy", round);
        }
        started = count(this->planAndStart(), DecisionKind::Start, "large") == 1U;
    }
    BOOST_TEST(started);
}

/// Failure: a gang waited for a task that never ended, and its reservation kept longer work off the idle VMs for ever. Both sides: the gang reserves again.
BOOST_AUTO_TEST_CASE(aReservationForAGangThatATaskBlocksEndsAndComesBack)
{
    this->enqueueBatch("stuck", 1, 10s);
    this->planAndStart();
    this->enqueue(spec("g", JobKind::Gang, Core, 16, "b"));
    this->plan();
    this->enqueueBatch("long", 4, 1h, "c");
    BOOST_TEST(this->plan().empty());
    bool longStarted = false;
    bool reservedAgain = false;
    for (int second = 0; second < 120; ++second) {
        this->now += 1s;
        longStarted = count(this->planAndStart(), DecisionKind::Start, "long") > 0 || longStarted;
        reservedAgain = reservedAgain || (longStarted && this->planner->explain("g", this->now).find("VMs reserved") != std::string::npos);
    }
    BOOST_TEST(longStarted);
    BOOST_TEST(reservedAgain);
}

BOOST_AUTO_TEST_SUITE_END()
