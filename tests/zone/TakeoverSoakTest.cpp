#include "support/Seed.h"
#include "zone/SchedulerRig.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <thread>
#include <vector>

using cranberryreel::base::ResultCode;
using cranberryreel::model::JobSpec;
using cranberryreel::model::JobState;
using cranberryreel::testsupport::SchedulerRig;
using cranberryreel::testsupport::Trouble;
using cranberryreel::zone::ZoneReply;

namespace
{

constexpr std::size_t Rounds = 40;
constexpr std::size_t RequestsPerRound = 4;

struct Asked {
    JobSpec spec;
    std::future<ZoneReply> reply;
};

/// Requests, keyed ones and batches under random trouble, restarts and takeovers; then all is healed and every outcome is held against what the upstreams ran.
class Soak : public SchedulerRig
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
            this->ask(round);
            this->disturb();
            std::this_thread::sleep_for(std::chrono::milliseconds(this->random() % 40));
        }
        this->heal();
        for (Asked &asked : this->all) {
            this->settle(asked);
        }
        BOOST_TEST(this->fleet.overlaps() == 0U);
        BOOST_TEST(this->answered == this->all.size());
    }

private:
    void ask(std::size_t round)
    {
        for (std::size_t i = 0; i < RequestsPerRound; ++i) {
            JobSpec spec = this->request("z-" + std::to_string(round) + "x" + std::to_string(i));
            spec.repeatable = i % 2 == 0;
            spec.key = spec.repeatable ? "" : spec.id;
            this->all.push_back({spec, this->submitLater(spec)});
        }
    }

    void disturb()
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

    void heal()
    {
        this->fleet.setTrouble("up-1", Trouble::None);
        this->fleet.setTrouble("up-2", Trouble::None);
    }

    /// Follows a caller's way to its outcome: to the next scheduler where the first one handed over.
    void settle(Asked &asked)
    {
        if (asked.reply.wait_for(std::chrono::seconds(30)) != std::future_status::ready) {
            BOOST_TEST(false, "no answer to " << asked.spec.id);
            return;
        }
        ZoneReply reply = asked.reply.get();
        for (int moves = 0; reply.code == ResultCode::NotLeader && moves < 10; ++moves) {
            reply = this->submit(asked.spec, reply.mayExist);
        }
        this->check(asked.spec, reply);
    }

    void check(const JobSpec &spec, const ZoneReply &reply)
    {
        ++this->answered;
        const std::size_t starts = this->fleet.startsOf(spec.id + ".0");
        const JobState state = reply.status.state;
        BOOST_TEST((reply.code == ResultCode::Ok), spec.id << " got code " << static_cast<int>(reply.code));
        if (!spec.repeatable) {
            BOOST_TEST(starts <= 1U, spec.id << " started " << starts << " times");
        }
        if (state == JobState::NotRun) {
            BOOST_TEST(starts == 0U, spec.id << " was told not run");
        }
        if (state == JobState::Done) {
            BOOST_TEST(starts >= 1U, spec.id << " was told done");
            BOOST_TEST(reply.status.answer == "echo:" + spec.payload);
        }
        BOOST_TEST(cranberryreel::model::isFinal(state));
    }

    std::mt19937_64 random;
    std::vector<Asked> all;
    std::size_t answered = 0;
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
