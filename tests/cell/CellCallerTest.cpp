#include "cell/CellCaller.h"

#include "cell/Codec.h"
#include "cell/PeerCallHandler.h"
#include "support/Eventually.h"
#include "support/FakeHub.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace cranberryreel;
using base::ResultCode;
using testsupport::FakeHub;

namespace
{

constexpr std::chrono::milliseconds Limit{400};
constexpr std::chrono::milliseconds TryLimit{100};

link::CallResult answer(ResultCode code, const std::string &leader = {})
{
    cell::wire::ReplyT reply = cell::makeReply(code);
    reply.leader = leader;
    return {ResultCode::Ok, true, cell::pack<cell::wire::Reply>(reply)};
}

cell::CallOutcome outcomeOf(cell::CellCaller &caller, cell::wire::CallKind kind)
{
    cell::wire::CallT call;
    call.kind = kind;
    auto promise = std::make_shared<std::promise<cell::CallOutcome>>();
    caller.call(call, Limit, TryLimit, [promise](cell::CallOutcome outcome) { promise->set_value(std::move(outcome)); });
    return promise->get_future().get();
}

/// Makes a submit call through a CellCaller with three seeds and returns its outcome.
cell::CallOutcome callThrough(FakeHub &hub)
{
    cell::CellCaller caller(hub, 7000, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    caller.start();
    cell::CallOutcome outcome = outcomeOf(caller, cell::wire::CallKind::Submit);
    caller.stop();
    return outcome;
}

/// A cell whose VMs answer calls as the leader, as the other members or as VMs outside the group do. The members change between calls.
struct ScriptedCell {
    std::string leader = "127.0.0.1";
    std::vector<std::string> members{"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    std::vector<std::string> outsiderKnows; ///< VMs that a VM outside the group names.

    link::CallResult reply(const FakeHub::Seen &seen) const
    {
        const std::optional<cell::wire::CallT> call = cell::unpack<cell::wire::Call>(seen.payload);
        if (call->kind != cell::wire::CallKind::Lookup) {
            return seen.toVm == this->leader ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader, this->leader);
        }
        const bool isMember = std::find(this->members.begin(), this->members.end(), seen.toVm) != this->members.end();
        cell::wire::ReplyT reply = cell::makeReply(ResultCode::Ok);
        reply.leader = this->leader;
        reply.members = isMember ? this->members : this->outsiderKnows;
        return {ResultCode::Ok, true, cell::pack<cell::wire::Reply>(reply)};
    }

    FakeHub::Script script() const
    {
        return [this](const FakeHub::Seen &seen, std::size_t) { return this->reply(seen); };
    }
};

struct StartedCaller : cell::CellCaller {
    StartedCaller(FakeHub &fakeHub, const std::vector<std::string> &seeds, std::chrono::milliseconds limit = std::chrono::seconds(10))
        : cell::CellCaller(fakeHub, 7000, seeds, limit)
    {
        this->start();
    }

    ~StartedCaller()
    {
        this->stop();
    }

    void lookUp()
    {
        outcomeOf(*this, cell::wire::CallKind::Lookup);
    }
};

std::set<std::string> setOf(const std::vector<std::string> &vms)
{
    return {vms.begin(), vms.end()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellCallerTest)

BOOST_AUTO_TEST_CASE(aSuggestedLeaderIsTriedNext)
{
    FakeHub hub(
        [](const FakeHub::Seen &seen, std::size_t) { return seen.toVm == "127.0.0.9" ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader, "127.0.0.9"); });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST(hub.calls().size() == 2U);
}

BOOST_AUTO_TEST_CASE(callsThatWereCertainlyNotCarriedOutAreReportedAsSuch)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number % 2 == 0 ? answer(ResultCode::NotLeader) : link::CallResult{ResultCode::LinkDown, false, {}};
    });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
}

BOOST_AUTO_TEST_CASE(aTryWithoutAnAnswerMarksTheCallAsPossiblyCarriedOut)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answer(ResultCode::NotLeader);
    });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
}

/// Load pattern: a zone is cut off. Its callers have a deadline of three seconds and can still be served by another zone.
BOOST_AUTO_TEST_CASE(callsFailAtOnceInAZoneThatIsCutOff)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::NotLeader); });
    hub.down = {"127.0.0.2", "127.0.0.3"};
    const base::SteadyTime since = base::steadyNow();
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST((base::steadyNow() - since < Limit / 2));
}

BOOST_AUTO_TEST_CASE(callsWaitWhileNoVmIsLinked)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::Ok); });
    hub.down = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    const base::SteadyTime since = base::steadyNow();
    BOOST_TEST(!callThrough(hub).answered);
    BOOST_TEST((base::steadyNow() - since >= Limit));
}

BOOST_AUTO_TEST_CASE(aLeaderThatLostItsTermMayHaveActedAndAnotherVmIsTried)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) { return number == 1 ? answer(ResultCode::GroupUnavailable) : answer(ResultCode::QueueFull); });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
    BOOST_TEST(outcome.reply.code == static_cast<int>(ResultCode::QueueFull));
}

/// Load pattern: the leader loses power, and the links to it stay up until they are detected as down.
BOOST_AUTO_TEST_CASE(aCallThatWaitsForADeadLeaderIsRedirectedToTheNewLeader)
{
    FakeHub hub([](const FakeHub::Seen &seen, std::size_t) { return seen.toVm == "127.0.0.2" ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader); });
    hub.silent = {"127.0.0.1"};
    cell::CellCaller caller(hub, 7000, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    caller.start();
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Submit;
    auto promise = std::make_shared<std::promise<cell::CallOutcome>>();
    std::future<cell::CallOutcome> future = promise->get_future();
    const base::SteadyTime began = base::steadyNow();
    caller.call(call, std::chrono::seconds(20), std::chrono::seconds(10), [promise](cell::CallOutcome ended) { promise->set_value(std::move(ended)); });
    BOOST_REQUIRE((support::eventually([&hub] { return hub.calls().size() == 1; }, std::chrono::seconds(5))));
    caller.leaderAnnounced("127.0.0.3", 4);
    caller.leaderAnnounced("127.0.0.2", 5);
    caller.leaderAnnounced("127.0.0.1", 3); // A delayed announcement of an older term.
    const cell::CallOutcome outcome = future.get();
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
    BOOST_TEST((base::steadyNow() - began < std::chrono::seconds(5)));
    BOOST_TEST(caller.leader() == "127.0.0.2");
    caller.stop();
}

/// Load pattern: VMs with state are lost for good and replaced at new addresses, one after the other, until more VMs are gone than are members.
BOOST_AUTO_TEST_CASE(vmsThatWereReplacedForGoodDoNotCutACallerOff)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    caller.lookUp();
    for (int replaced = 2; replaced <= 6; replaced++) {
        const std::string gone = "127.0.0." + std::to_string(replaced);
        const std::string successor = "127.0.0." + std::to_string(replaced + 2);
        hub.down.insert(gone);
        cell.members = {cell.leader, "127.0.0." + std::to_string(replaced + 1), successor};
        caller.lookUp();
        BOOST_TEST_CONTEXT("replaced " << gone)
        {
            BOOST_TEST(!caller.isCutOff());
            BOOST_TEST(outcomeOf(caller, cell::wire::CallKind::Submit).answered);
        }
    }
}

BOOST_AUTO_TEST_CASE(vmsThatAreNeitherSeedsNorMembersAreForgotten)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.1"});
    cell.members = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    caller.lookUp();
    cell.members = {"127.0.0.1", "127.0.0.3", "127.0.0.4"};
    caller.lookUp();
    const std::set<std::string> expected{"127.0.0.1", "127.0.0.3", "127.0.0.4"};
    BOOST_TEST(setOf(caller.knownVms()) == expected, boost::test_tools::per_element());
    BOOST_TEST(hub.dialed() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(newSeedsReplaceTheEarlierOnes)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.1", "127.0.0.8"});
    caller.lookUp();
    caller.setSeeds({"127.0.0.9"});
    const std::set<std::string> expected{"127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.9"};
    BOOST_TEST(setOf(caller.knownVms()) == expected, boost::test_tools::per_element());
    BOOST_TEST(hub.dialed() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(onlyTheLeaderTellsWhoTheMembersAre)
{
    ScriptedCell cell;
    cell.outsiderKnows = {"127.0.0.1", "127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"};
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.1", "127.0.0.9"});
    caller.lookUp();
    // The leader stops; a VM outside the group answers with the VMs that it once knew, which are all gone.
    hub.down = {"127.0.0.1", "127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"};
    caller.lookUp();
    BOOST_TEST(!caller.isCutOff());
    hub.down.insert("127.0.0.2");
    BOOST_TEST(caller.isCutOff());
}

BOOST_AUTO_TEST_CASE(aStandbyVmAloneDoesNotMakeAGroup)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.1", "127.0.0.2", "127.0.0.9"});
    caller.lookUp();
    hub.down = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    BOOST_TEST(caller.isCutOff());
    hub.down.insert("127.0.0.9");
    BOOST_TEST(!caller.isCutOff());
}

/// Load pattern: a VM starts with seeds of long ago, of which only one is left, and that one is no member any more.
BOOST_AUTO_TEST_CASE(aNewVmWithOldSeedsFindsTheGroupThroughAVmOutsideIt)
{
    ScriptedCell cell;
    cell.leader = "127.0.0.6";
    cell.members = {"127.0.0.5", "127.0.0.6", "127.0.0.7"};
    cell.outsiderKnows = {"127.0.0.1", "127.0.0.5", "127.0.0.6", "127.0.0.7"};
    FakeHub hub(cell.script());
    hub.down = {"127.0.0.1", "127.0.0.2"};
    StartedCaller caller(hub, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    BOOST_TEST(caller.isCutOff());
    caller.lookUp();
    BOOST_TEST(!caller.isCutOff());
    caller.lookUp();
    BOOST_TEST(!caller.isCutOff());
    BOOST_TEST(outcomeOf(caller, cell::wire::CallKind::Submit).answered);
}

BOOST_AUTO_TEST_CASE(theGroupIsFoundAgainAfterAllSeedsAreGone)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.1"});
    caller.lookUp();
    hub.down = {"127.0.0.1"};
    cell.leader = "127.0.0.2";
    cell.members = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
    caller.lookUp();
    BOOST_TEST(outcomeOf(caller, cell::wire::CallKind::Submit).answered);
    BOOST_TEST(caller.leader() == "127.0.0.2");
}

BOOST_AUTO_TEST_CASE(membersOfTheOwnLogAreDialedUntilTheLogNamesOthers)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    hub.down = {"127.0.0.8", "127.0.0.9"};
    StartedCaller caller(hub, {"127.0.0.8", "127.0.0.9"});
    caller.setLoggedMembers({"127.0.0.1", "127.0.0.2", "127.0.0.5"});
    BOOST_TEST(!caller.isCutOff());
    caller.setLoggedMembers({"127.0.0.1", "127.0.0.2", "127.0.0.6"});
    const std::set<std::string> expected{"127.0.0.1", "127.0.0.2", "127.0.0.6", "127.0.0.8", "127.0.0.9"};
    BOOST_TEST(hub.dialed() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(vmsNamedByOthersAreBounded)
{
    ScriptedCell cell;
    cell.leader = "";
    FakeHub hub(cell.script());
    StartedCaller caller(hub, {"127.0.0.9"});
    for (int round = 1; round <= 100; round++) {
        cell.outsiderKnows = {"127.0.1." + std::to_string(round), "127.0.2." + std::to_string(round)};
        caller.lookUp();
    }
    BOOST_TEST(caller.knownVms().size() <= 20U);
    BOOST_TEST(hub.dialed().size() <= 20U);
}

/// Load pattern: most voters run and are linked, but cannot write. The group has no leader for a minute, and callers come back for each refusal.
BOOST_AUTO_TEST_CASE(callsFailAfterOneRoundOnceTheGroupHasLongBeenWithoutALeader)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    constexpr std::chrono::milliseconds LeaderlessLimit{100};
    StartedCaller caller(hub, cell.members, LeaderlessLimit);
    caller.lookUp();
    cell.leader = "";
    std::this_thread::sleep_for(2 * LeaderlessLimit);
    const base::SteadyTime since = base::steadyNow();
    const std::size_t before = hub.calls().size();
    const cell::CallOutcome outcome = outcomeOf(caller, cell::wire::CallKind::Submit);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST((base::steadyNow() - since < Limit / 2));
    BOOST_TEST(hub.calls().size() == before + cell.members.size());
    cell.leader = "127.0.0.3";
    BOOST_TEST(outcomeOf(caller, cell::wire::CallKind::Submit).answered);
}

/// Load pattern: all VMs that hold the state lose power. They are linked again a moment before they have elected a leader.
BOOST_AUTO_TEST_CASE(callsWaitForTheElectionAfterAllVmsRestarted)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    constexpr std::chrono::seconds LeaderlessLimit{1};
    StartedCaller caller(hub, cell.members, LeaderlessLimit);
    caller.lookUp();
    hub.down = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    cell.leader = "";
    std::this_thread::sleep_for(LeaderlessLimit);
    const base::SteadyTime downAt = base::steadyNow();
    BOOST_TEST(!outcomeOf(caller, cell::wire::CallKind::Submit).answered);
    BOOST_TEST((base::steadyNow() - downAt >= Limit));
    hub.down.clear();
    const base::SteadyTime upAt = base::steadyNow();
    BOOST_TEST(!outcomeOf(caller, cell::wire::CallKind::Submit).answered);
    BOOST_TEST((base::steadyNow() - upAt >= Limit));
}

/// Load pattern: a standby VM starts beside the leader while its links to the other members are still down.
BOOST_AUTO_TEST_CASE(aVmThatAsksToJoinIsNotHeldBackByMissingLinks)
{
    ScriptedCell cell;
    FakeHub hub(cell.script());
    hub.down = {"127.0.0.2", "127.0.0.3"};
    StartedCaller caller(hub, cell.members);
    caller.lookUp();
    BOOST_TEST(!outcomeOf(caller, cell::wire::CallKind::Submit).answered);
    BOOST_TEST(outcomeOf(caller, cell::wire::CallKind::Join).answered);
}

BOOST_AUTO_TEST_SUITE_END()
