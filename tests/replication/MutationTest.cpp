#include "Mutations.h"
#include "Simulation.h"
#include "SimulationLayouts.h"
#include "TestSeed.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <random>

using namespace cranberryreel::replication;
using std::chrono::milliseconds;

namespace
{

/// A wrong safety rule, the group and faults that expose it, and the number of steps within which the oracle must detect a violation.
struct Mutation {
    std::string name;
    std::shared_ptr<const CoreSafety> safety;
    Layout layout;
    std::vector<FaultKind> faults;
    std::uint64_t stepLimit = 3'000'000;
    milliseconds longestFault{3000};
    milliseconds longestWait{1500};
};

std::ostream &operator<<(std::ostream &stream, const Mutation &mutation)
{
    return stream << mutation.name;
}

/// The result of many random fault schedules.
struct SearchResult {
    std::string violation;
    std::uint64_t steps = 0;
};

Layout withSlowFirstClock(Layout layout)
{
    layout.options.firstIsSlow = true;
    layout.options.clockDrift = 0.09;
    return layout;
}

Layout withRareProposals(Layout layout)
{
    layout.options.proposalOneIn = 2000;
    return layout;
}

Layout withSlowNetwork(Layout layout)
{
    layout.options.longestDelay = 40;
    return layout;
}

Mutation withFaultLength(Mutation mutation, milliseconds longestFault)
{
    mutation.longestFault = longestFault;
    mutation.longestWait = longestFault;
    return mutation;
}

template<typename Safety>
Mutation mutation(const std::string &name, Layout layout, std::vector<FaultKind> faults)
{
    return Mutation{name, std::make_shared<const Safety>(), std::move(layout), std::move(faults)};
}

std::vector<Mutation> allMutations()
{
    using Kind = FaultKind;
    const std::vector<Kind> common{
        Kind::CrashLeader, Kind::Crash, Kind::IsolateLeader, Kind::Isolate, Kind::CutPair, Kind::PauseLeader, Kind::Lossy, Kind::Split};
    const std::vector<Kind> repairs{Kind::CrashLeader, Kind::RestartRepaired, Kind::IsolateLeader, Kind::CutPair, Kind::Lossy};
    const std::vector<Kind> syncs{Kind::CrashBeforeSync, Kind::CrashAll, Kind::Crash, Kind::CrashLeader, Kind::IsolateLeader};
    return {
        mutation<mutations::VotesTwiceInATerm>("votes twice in a term", withSlowNetwork(threeDisks()), common),
        mutation<mutations::VotesForShorterLogs>("votes for shorter logs", threeDisks(), common),
        mutation<mutations::LetsBlankMembersVote>("lets blank members vote", zoneOfThree(), repairs),
        mutation<mutations::TreatsBlankMembersAsFull>("treats blank members as full", zoneOfThree(), repairs),
        mutation<mutations::SkipsTheLogMatch>("skips the log match", threeDisks(), common),
        mutation<mutations::AnswersBeforeSync>("answers before the sync", zoneOfTwo(), syncs),
        mutation<mutations::SkipsTheSyncOfEntries>("skips the sync of entries", threeDisks(), syncs),
        mutation<mutations::LeavesNoLeaseMargin>(
            "leaves no lease margin", withSlowFirstClock(withRareProposals(zoneOfThree())), {Kind::IsolateLeader, Kind::HandOver}),
        mutation<mutations::VotesDuringLeaderContact>("votes during contact with a leader", withRareProposals(zoneOfThree()), {Kind::CutPair, Kind::Split}),
        mutation<mutations::SkipsThePreVote>("skips the pre-vote", zoneOfThree(), {Kind::IsolateFollower}),
        mutation<mutations::LeadsWithoutMajority>("leads without a majority", zoneOfThree(), {Kind::BlockLeaderInput}),
        mutation<mutations::ForgetsTheSnapshotTerm>("forgets the snapshot's term", zoneOfThree(), repairs),
        mutation<mutations::LetsTheWitnessLead>("lets the witness lead", zoneOfTwo(), common),
        mutation<mutations::TrustsARolledBackDisk>("trusts a rolled-back disk", threeDisks(), {Kind::RollBackDisk, Kind::Crash, Kind::CrashLeader}),
        withFaultLength(
            mutation<mutations::FormsWithoutAllDisks>("forms without all disks", withMemoryLostAnywhere(zoneOfTwo()), {Kind::CrashAll, Kind::IsolateWitness}),
            milliseconds(15000)),
        mutation<mutations::FormsFromAnyLog>("forms from any log", withMemoryLostAnywhere(zoneOfTwo()), {Kind::CrashAll, Kind::Crash}),
        mutation<mutations::AcknowledgesWithoutADisk>("acknowledges without a disk", zoneOfTwo(), common),
        mutation<mutations::ChangesMembersWithoutOldMajority>(
            "changes members without the old majority", fiveDisks(), {Kind::ChangeMembers, Kind::Split, Kind::ChangeMembers, Kind::Split, Kind::IsolateLeader}),
    };
}

/// Runs random schedules of the mutation's faults until the oracle detects a violation or the step limit is reached.
SearchResult searchForViolation(const Mutation &mutation, const CoreSafety &safety, std::uint64_t stepLimit)
{
    constexpr int FaultsPerSchedule = 12;
    std::mt19937_64 random(testSeed());
    SearchResult result;
    while (result.violation.empty() && result.steps < stepLimit) {
        Simulation::Options options = mutation.layout.options;
        options.seed = random();
        Simulation simulation(options, safety);
        simulation.runFor(milliseconds(4000));
        for (int i = 0; i < FaultsPerSchedule; ++i) {
            Fault fault;
            fault.kind = mutation.faults[random() % mutation.faults.size()];
            fault.member = static_cast<std::uint32_t>(random() % 60);
            fault.other = static_cast<std::uint32_t>(random() % 60);
            fault.wait = milliseconds(random() % static_cast<std::uint64_t>(mutation.longestWait.count()));
            fault.duration = milliseconds(1 + random() % static_cast<std::uint64_t>(mutation.longestFault.count()));
            simulation.inject(fault);
        }
        simulation.recover(milliseconds(20000));
        result.steps += simulation.steps();
        result.violation = simulation.oracle().violation();
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MutationTest)

BOOST_DATA_TEST_CASE(everyMutationIsDetected, boost::unit_test::data::make(allMutations()), mutation)
{
    const SearchResult result = searchForViolation(mutation, *mutation.safety, mutation.stepLimit);
    BOOST_TEST(!result.violation.empty(), mutation.name << " was not detected in " << result.steps << " steps");
    BOOST_TEST_MESSAGE(mutation.name << ": " << result.steps << " steps: " << result.violation);
}

BOOST_DATA_TEST_CASE(theSameSchedulesHoldWithoutTheMutation, boost::unit_test::data::make(allMutations()), mutation)
{
    constexpr std::uint64_t Steps = 100'000;
    const CoreSafety correct;
    const SearchResult result = searchForViolation(mutation, correct, Steps);
    BOOST_TEST(result.violation.empty(), mutation.name << ": " << result.violation);
}

BOOST_AUTO_TEST_SUITE_END()
