#include "Mutations.h"
#include "Simulation.h"
#include "SimulationLayouts.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace cranberryreel::replication;
using std::chrono::milliseconds;

namespace
{

using Vms = std::set<std::string>;

/// The network's faults during one stage of the scenario.
struct Stage {
    Vms isolated; ///< Cut off from all other members.
    Vms sendNoEntries; ///< Members whose entries are dropped.
    std::uint64_t lostAboveTerm = UINT64_MAX; ///< Entries of higher terms are dropped.
};

bool drops(const Stage &stage, const Message &message)
{
    const bool crosses = stage.isolated.count(message.from) != stage.isolated.count(message.to);
    const bool silenced = !message.entries.empty() && stage.sendNoEntries.count(message.from) != 0;
    const bool tooNew = !message.entries.empty() && message.entries.back().term > stage.lostAboveTerm;
    return crosses || silenced || tooNew;
}

std::string leaderAmong(const Simulation &simulation, const Vms &vms)
{
    const auto found = std::find_if(vms.begin(), vms.end(), [&simulation](const std::string &vm) { return simulation.core(vm).role() == Role::Leader; });
    return found == vms.end() ? "" : *found;
}

/// Runs the scenario and returns the violation, if any: an entry of an earlier term is stored on a majority, but a member with an entry of a term in between
/// can still win an election and replace it.
std::string violationWith(const CoreSafety &safety)
{
    Stage stage;
    Simulation::Options options = fiveDisks().options;
    options.maxEntriesPerMessage = 1;
    options.drops = [&stage](const Message &message) { return drops(stage, message); };
    Simulation simulation(options, safety);
    simulation.runFor(milliseconds(4000));
    const std::string first = simulation.leader();
    const Vms all{"d1", "d2", "d3", "d4", "d5"};
    const Vms minority{first, first == "d1" ? "d2" : "d1"};
    Vms majority;
    std::set_difference(all.begin(), all.end(), minority.begin(), minority.end(), std::inserter(majority, majority.end()));

    stage = Stage{minority, majority};
    simulation.runFor(milliseconds(2500));
    const std::string between = leaderAmong(simulation, majority);
    BOOST_TEST_REQUIRE(!between.empty());
    const std::uint64_t termBetween = simulation.core(between).hardState().term;

    stage = Stage{{between}, {}, termBetween};
    simulation.runFor(milliseconds(3000));
    BOOST_TEST_REQUIRE(!leaderAmong(simulation, minority).empty());

    stage = Stage{minority, {}};
    simulation.runFor(milliseconds(4000));
    stage = Stage();
    simulation.recover(milliseconds(20000));
    return simulation.oracle().violation();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EarlierTermTest)

BOOST_AUTO_TEST_CASE(entriesOfEarlierTermsAreNotCommittedByCounting)
{
    BOOST_TEST(violationWith(CoreSafety()) == "");
}

BOOST_AUTO_TEST_CASE(countingThemIsDetected)
{
    const std::string violation = violationWith(mutations::CommitsEarlierTermsByCounting());
    BOOST_TEST(violation.rfind("one log", 0) == 0U, violation);
}

BOOST_AUTO_TEST_SUITE_END()
