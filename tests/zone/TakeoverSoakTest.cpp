#include "support/Seed.h"
#include "zone/SchedulerFixture.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <thread>
#include <vector>

using cranberryreel::base::ResultCode;
using cranberryreel::model::JobSpec;
using cranberryreel::model::JobState;
using cranberryreel::testsupport::SchedulerFixture;
using cranberryreel::testsupport::Trouble;
using cranberryreel::zone::ZoneReply;

namespace
{

constexpr std::size_t Rounds = 40;
constexpr std::size_t RequestsPerRound = 4;

struct PendingRequest {
    JobSpec spec;
    std::future<ZoneReply> reply;
};

/// Submits repeatable and keyed requests while faults, upstream restarts and take-overs are injected at random. Then clears the faults and compares every
/// reported outcome with what the upstreams ran. Guards against work that runs twice or is reported falsely when a leader changes.
class Soak : public SchedulerFixture
{
public:
    Soak()
    {
        this->options.deliveryMargin = std::chrono::milliseconds(400);
    }

    void run(std::uint64_t seed)
    {
        this->random.seed(seed);
        this->addUpstream("up-1");
        this->addUpstream("up-2");
        for (std::size_t round = 0; round < Rounds; ++round) {
            this->submitRequests(round);
            this->injectFault();
            std::this_thread::sleep_for(std::chrono::milliseconds(this->random() % 40));
        }
        this->clearFaults();
        for (PendingRequest &pending : this->requests) {
            this->awaitOutcome(pending);
        }
        BOOST_TEST(this->fleet.overlaps() == 0U);
        BOOST_TEST(this->answeredCount == this->requests.size());
    }

private:
    void submitRequests(std::size_t round)
    {
        for (std::size_t i = 0; i < RequestsPerRound; ++i) {
            JobSpec spec = this->request("z-" + std::to_string(round) + "x" + std::to_string(i));
            spec.repeatable = i % 2 == 0;
            spec.key = spec.repeatable ? "" : spec.id;
            this->requests.push_back({spec, this->submitLater(spec)});
        }
    }

    void injectFault()
    {
        const std::string id = this->random() % 2 == 0 ? "up-1" : "up-2";
        switch (this->random() % 8) {
        case 0:
            this->fleet.setTrouble(id, Trouble::Unreachable);
            break;
        case 1:
            this->fleet.setTrouble(id, Trouble::LosesAnswers);
            break;
        case 2:
            this->fleet.setTrouble(id, Trouble::LosesStartAnswers);
            break;
        case 3:
            this->fleet.setTrouble(id, Trouble::LosesStarts);
            break;
        case 4:
            this->fleet.restart(id);
            break;
        case 5:
            this->takeOver();
            break;
        default:
            this->fleet.setTrouble("up-1", Trouble::None);
            this->fleet.setTrouble("up-2", Trouble::None);
        }
    }

    void clearFaults()
    {
        this->fleet.setTrouble("up-1", Trouble::None);
        this->fleet.setTrouble("up-2", Trouble::None);
    }

    /// Waits for the outcome as a caller does: submits again to the next leader after a NotLeader reply.
    void awaitOutcome(PendingRequest &pending)
    {
        if (pending.reply.wait_for(std::chrono::seconds(30)) != std::future_status::ready) {
            BOOST_TEST(false, "no answer to " << pending.spec.id);
            return;
        }
        ZoneReply reply = pending.reply.get();
        for (int redirects = 0; reply.code == ResultCode::NotLeader && redirects < 10; ++redirects) {
            reply = this->submit(pending.spec, reply.mayExist);
        }
        this->check(pending.spec, reply);
    }

    void check(const JobSpec &spec, const ZoneReply &reply)
    {
        ++this->answeredCount;
        const std::size_t starts = this->fleet.startsOf(spec.id + ".0");
        const JobState state = reply.status.state;
        BOOST_TEST((reply.code == ResultCode::Ok), spec.id << " was answered with code " << static_cast<int>(reply.code));
        if (!spec.repeatable) {
            BOOST_TEST(starts <= 1U, spec.id << " started " << starts << " times");
        }
        if (state == JobState::NotRun) {
            BOOST_TEST(starts == 0U, spec.id << " was reported as not run");
        }
        if (state == JobState::Done) {
            BOOST_TEST(starts >= 1U, spec.id << " was reported as done");
            BOOST_TEST(reply.status.answer == "echo:" + spec.payload);
        }
        BOOST_TEST(cranberryreel::model::isFinal(state));
    }

    std::mt19937_64 random;
    std::vector<PendingRequest> requests;
    std::size_t answeredCount = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TakeoverSoakTest)

BOOST_AUTO_TEST_CASE(nothingRunsTwiceAndEveryAnswerIsTrue)
{
    for (std::uint64_t run = 0; run < 4; ++run) {
        BOOST_TEST_MESSAGE("seed " << cranberryreel::support::testSeed() + run);
        Soak soak;
        soak.run(cranberryreel::support::testSeed() + run);
    }
}

BOOST_AUTO_TEST_SUITE_END()
