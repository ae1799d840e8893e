#include "cell/teams/AdmissionPolicy.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cranberryreel;
using cell::teams::AdmissionDecision;
using cell::teams::AdmissionPolicy;
using cell::teams::Amounts;
using cell::teams::FreedCapacity;
using cell::teams::LateReason;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t CpuMillis = 10000;

/// A full service of ten cores, whose runs end one after another within a second, and two teams of equal weight.
struct PolicyFixture {
    cell::teams::LoadSnapshot load;

    PolicyFixture()
    {
        this->setUsed(10);
        this->load.teams["a"].weight = 1;
        this->load.teams["b"].weight = 1;
    }

    static FreedCapacity capacity(int used)
    {
        FreedCapacity::Builder builder;
        builder.setCapacity(Amounts(cell::planning::Capacity{CpuMillis, 1000000, 0}));
        for (int i = 0; i < used; ++i) {
            builder.addRun(Amounts(*support::step(1, 1000)), milliseconds(100 * (i + 1)));
        }
        return builder.build();
    }

    void setUsed(int cores)
    {
        this->load.services["workers"].capacity = capacity(cores);
    }

    /// A job of one task of a second. Its objective is 2 s, its limit 6 s.
    static cell::teams::Submission job(const std::string &id, const std::string &team, std::uint32_t tasks = 1)
    {
        auto step = support::step(tasks, 1000);
        step->estimate_ms = 1000;
        auto spec = support::job(id, std::move(step));
        spec->team = team;
        auto queue = support::queue("quick", 1, 2);
        queue->slack = 2;
        return *cell::teams::Submission::of(*spec, *queue);
    }

    void addWaiting(int jobs, const std::string &team)
    {
        for (int i = 0; i < jobs; ++i) {
            this->load.waiting.push_back(job("w", team).demand);
        }
    }

    AdmissionDecision decide(const cell::teams::Submission &submission) const
    {
        return AdmissionPolicy(this->load).decide(submission);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionPolicyTest, PolicyFixture)

/// Failure: work was rejected although nothing waited, or without knowledge of its service.
BOOST_AUTO_TEST_CASE(withoutABacklogEveryJobIsAdmitted)
{
    BOOST_TEST(this->decide(job("j", "a")).admitted);
    this->load.services.clear();
    this->addWaiting(1000, "a");
    BOOST_TEST(this->decide(job("j", "a")).admitted);
}

/// Load: a backlog of its own team's jobs. Failure: a job was accepted that ends after three times its objective, and its submitter learnt of it only then.
BOOST_AUTO_TEST_CASE(aJobBehindTooMuchWorkIsRejected)
{
    this->addWaiting(40, "a");
    BOOST_TEST(this->decide(job("j", "a")).admitted);
    this->addWaiting(60, "a");
    const AdmissionDecision decision = this->decide(job("j", "a"));
    BOOST_TEST(!decision.admitted);
    BOOST_TEST((decision.reason == LateReason::Capacity && decision.limit == milliseconds(6000) && decision.predictedEnd > decision.limit));
    BOOST_TEST((decision.workAhead == milliseconds(10000)));
}

/// Load: another team has a large backlog within its rate. Failure: jobs of a small team were rejected for the backlog of a large one.
BOOST_AUTO_TEST_CASE(theBacklogOfAnotherTeamCountsByWeight)
{
    this->addWaiting(1000, "b");
    BOOST_TEST(this->decide(job("j", "a")).admitted);
    BOOST_TEST(!this->decide(job("j", "b")).admitted);
}

/// Load: one wrong estimate. Failure: a single job with a large estimate, which may be off by 0.9, made others be rejected.
BOOST_AUTO_TEST_CASE(aSingleEstimateIsNotTrusted)
{
    auto large = job("w", "a", 100);
    large.demand.priority = 0;
    this->load.waiting.push_back(large.demand);
    BOOST_TEST(this->decide(job("j", "a")).admitted);
}

/// Load: work that waits for a label, advice or reserved upstreams while the service has free capacity. Failure: other work was rejected for it.
BOOST_AUTO_TEST_CASE(aServiceThatIsNotFullRejectsNothing)
{
    this->addWaiting(1000, "a");
    this->setUsed(7);
    BOOST_TEST(this->decide(job("j", "a")).admitted);
}

/// Load: one team sends more than its rate. Failure: its excess was accepted although it could not be on time, or work within the rate was treated like it.
BOOST_AUTO_TEST_CASE(workBeyondTheRateMustBeOnTime)
{
    this->addWaiting(40, "b");
    auto submitted = job("j", "a");
    BOOST_TEST(this->decide(submitted).admitted);
    submitted.demand.beyondRate = true;
    const AdmissionDecision decision = this->decide(submitted);
    BOOST_TEST((!decision.admitted && decision.reason == LateReason::BeyondRate && decision.limit == submitted.objective));
}

/// Load: usual arrivals take nearly all capacity. Failure: late work was accepted on the assumption that nothing arrives after it.
BOOST_AUTO_TEST_CASE(steadyArrivalsDelayWorkBeyondTheRate)
{
    this->addWaiting(15, "b");
    auto submitted = job("j", "a");
    submitted.demand.beyondRate = true;
    BOOST_TEST(this->decide(submitted).admitted);
    this->load.services["workers"].arrivals[1].values[0] = CpuMillis;
    BOOST_TEST(!this->decide(submitted).admitted);
}

/// Load: a team at its quota. Failure: its backlog was taken for that of the service, or the other team's jobs were rejected for it.
BOOST_AUTO_TEST_CASE(aSmallQuotaDelaysItsTeamOnly)
{
    this->setUsed(5);
    FreedCapacity::Builder quota;
    quota.setCapacity(Amounts(cell::planning::Capacity{1000, 0, 0}));
    quota.addRun(Amounts(*support::step(1, 1000)), milliseconds(1000));
    this->load.teams["a"].quota = quota.build();
    this->addWaiting(20, "a");
    const AdmissionDecision decision = this->decide(job("j", "a"));
    BOOST_TEST((!decision.admitted && decision.reason == LateReason::Quota));
    BOOST_TEST(this->decide(job("j", "b")).admitted);
}

/// Load: a burst of rejected jobs. Failure: their callers returned together, or after the time that they wait at most.
BOOST_AUTO_TEST_CASE(rejectedCallersReturnAtDifferentTimes)
{
    this->addWaiting(100, "a");
    std::set<milliseconds> delays;
    std::set<std::chrono::seconds> seconds;
    for (int i = 0; i < 100; ++i) {
        const milliseconds delay = this->decide(job(std::to_string(i), "a")).retryAfter;
        BOOST_TEST((delay >= milliseconds(1000) && delay <= milliseconds(6000)));
        delays.insert(delay);
        seconds.insert(std::chrono::ceil<std::chrono::seconds>(delay));
    }
    BOOST_TEST((delays.size() > 50U && seconds.size() >= 2U));
    BOOST_TEST((this->decide(job("7", "a")).retryAfter == this->decide(job("7", "a")).retryAfter));
}

BOOST_AUTO_TEST_SUITE_END()
