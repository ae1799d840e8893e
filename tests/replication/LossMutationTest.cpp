#include "LossSchedule.h"
#include "Mutations.h"
#include "TestSeed.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace cranberryreel;
using namespace cranberryreel::replication;
using std::chrono::milliseconds;

namespace
{

/// A wrong rule of the membership and the group that exposes it.
struct LossMutation {
    std::string name;
    Simulation::Options options;
    std::function<void(Simulation::Options &)> mutate = [](Simulation::Options &) {};
    std::shared_ptr<const CoreSafety> safety = std::make_shared<const CoreSafety>();
};

std::ostream &operator<<(std::ostream &stream, const LossMutation &mutation)
{
    return stream << mutation.name;
}

/// The standby of the start asks to follow, but never gets the log.
Simulation::Options withUselessStandby()
{
    Simulation::Options options = keptGroup(1, 1);
    options.drops = [](const Message &message) { return message.from == "e4"; };
    return options;
}

Simulation::Options withSlowNetwork(Simulation::Options options)
{
    options.longestDelay = 40;
    options.proposalOneIn = 8;
    return options;
}

/// A snapshot would keep the committed membership.
Simulation::Options withoutSnapshots(Simulation::Options options)
{
    options.snapshotEvery = 100'000;
    return options;
}

void neverReplaces(Simulation::Options &options)
{
    options.keeping->replaceAfter = std::chrono::hours(1);
}

void takesEveryStandbyForReady(Simulation::Options &options)
{
    options.altersStatus = [](GroupStatus &status) {
        for (PeerHealth &peer : status.peers) {
            peer.counts = true;
            peer.silentFor = peer.voter ? peer.silentFor : milliseconds(0);
        }
    };
}

void replacesOneByTwo(Simulation::Options &options)
{
    options.altersPlan = [](cell::GroupKeeper::Plan &plan) {
        for (const std::string vm : {"e1", "e2", "e3", "e4", "e5"}) {
            const bool isNew = plan.members && std::find(plan.members->begin(), plan.members->end(), vm) == plan.members->end()
                && std::find(plan.lost.begin(), plan.lost.end(), vm) == plan.lost.end();
            if (isNew) {
                plan.members->push_back(vm);
                return;
            }
        }
    };
}

void forgetsMembersCommitted(Simulation::Options &options)
{
    options.forgetsMembersCommitted = true;
}

std::vector<LossMutation> allMutations()
{
    const auto unchanged = [](Simulation::Options &) {};
    return {
        {"a lost voter is never replaced", keptGroup(1, 1), neverReplaces},
        {"a standby without the log takes a voter's place", withUselessStandby(), takesEveryStandbyForReady},
        {"a lost voter is replaced by two", keptGroup(1, 2), replacesOneByTwo},
        {"the committed membership is not durable", withoutSnapshots(keptGroup(1, 1)), forgetsMembersCommitted},
        {"standbys count toward majorities", withSlowNetwork(keptGroup(1, 2)), unchanged, std::make_shared<const mutations::CountsStandbys>()},
        {"nobody is admitted", keptGroup(1, 1), unchanged, std::make_shared<const mutations::AdmitsNobody>()},
        {"blank members and standbys count and vote", keptGroup(1, 1), unchanged, std::make_shared<const mutations::TreatsBlankMembersAsFull>()},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(LossMutationTest)

BOOST_DATA_TEST_CASE(everyMutationIsDetected, boost::unit_test::data::make(allMutations()), mutation)
{
    constexpr std::uint64_t MostPlays = 400;
    Simulation::Options options = mutation.options;
    mutation.mutate(options);
    std::string violation;
    std::uint64_t plays = 0;
    while (violation.empty() && plays < MostPlays) {
        violation = playLosses(options, testSeed() + plays, *mutation.safety).violation;
        ++plays;
    }
    BOOST_TEST(!violation.empty(), mutation.name << " was not detected in " << plays << " plays");
    BOOST_TEST_MESSAGE(mutation.name << ": " << plays << " plays: " << violation);
}

BOOST_DATA_TEST_CASE(theSameSchedulesHoldWithoutTheMutation, boost::unit_test::data::make(allMutations()), mutation)
{
    constexpr std::uint64_t Plays = 15;
    const CoreSafety correct;
    for (std::uint64_t seed = testSeed(); seed < testSeed() + Plays; ++seed) {
        const LossOutcome outcome = playLosses(mutation.options, seed, correct);
        BOOST_TEST(outcome.violation.empty(), mutation.name << ", seed " << seed << ": " << outcome.violation << "\n" << outcome.history);
    }
}

BOOST_AUTO_TEST_SUITE_END()
