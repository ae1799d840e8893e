#include "TestDeployment.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace cranberryreel;
using base::ResultCode;
using config::Change;
using config::ChangePart;
using config::ChangeReply;

namespace
{

bool isStale(const std::vector<config::VmRevision> &rows, const std::string &vm)
{
    for (const config::VmRevision &row : rows) {
        if (row.vm == vm) {
            return row.stale;
        }
    }
    return false;
}

std::chrono::milliseconds since(base::SteadyTime begin)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::steadyNow() - begin);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicatedConfigServiceTest)

BOOST_AUTO_TEST_CASE(aChangeIsActiveEverywhereWhenAnswered)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    const ChangeReply reply = deployment.change("akr-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(50)});
    BOOST_TEST((reply.code == ResultCode::Ok), reply.reason);
    BOOST_TEST(reply.revision == 1U);
    BOOST_TEST(reply.inForceAt.size() == 6U);
    BOOST_TEST(deployment["hfj-b"].current()->vms.size() == 50U);
    for (const config::VmRevision &row : deployment.status("rey-b")) {
        BOOST_TEST(row.reachable);
        BOOST_TEST(!row.stale);
        BOOST_TEST(row.revision == 1U);
    }
}

BOOST_AUTO_TEST_CASE(badTextsChangeNothing)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-a", {"bad", 0, ChangePart::Register, "[vm w1]\nzone = rey\n"}).code == ResultCode::RegisterInvalid));
    BOOST_TEST((deployment.change("rey-b", {"bad-rules", 0, ChangePart::Rules, "[partner none]\n"}).code == ResultCode::RulesInvalid));
    BOOST_TEST((deployment.change("rey-b", {"", 0, ChangePart::Rules, ""}).code == ResultCode::FieldOutOfRange));
    BOOST_TEST((deployment.change("rey-b", {"early", 7, ChangePart::Rules, ""}).code == ResultCode::RevisionConflict));
    BOOST_TEST(deployment.allAtRevision(0));
}

BOOST_AUTO_TEST_CASE(oneOfConcurrentChangesWinsEachRevision)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    constexpr int Operators = 4;
    constexpr std::uint64_t Rounds = 15;
    const std::vector<std::string> entries = {"rey-b", "hfj-b", "akr-b", "hfj-a"};
    for (std::uint64_t revision = 0; revision < Rounds; revision++) {
        std::vector<ChangeReply> replies(Operators);
        std::vector<std::thread> operators;
        operators.reserve(Operators);
        for (int number = 0; number < Operators; number++) {
            operators.emplace_back([&, number] {
                const std::string id = std::to_string(revision) + "-" + std::to_string(number);
                replies[number] = deployment.change(entries[number], {id, revision, ChangePart::Register, TestDeployment::registerWith(number + 1)});
            });
        }
        for (std::thread &thread : operators) {
            thread.join();
        }
        int winners = 0;
        for (int number = 0; number < Operators; number++) {
            const bool won = replies[number].code == ResultCode::Ok;
            winners += won ? 1 : 0;
            BOOST_TEST((won || replies[number].code == ResultCode::RevisionConflict), replies[number].reason);
            BOOST_TEST(replies[number].revision == revision + 1);
            if (won) {
                BOOST_REQUIRE(deployment.allAtRevision(revision + 1));
                BOOST_TEST(deployment["rey-a"].current()->vms.size() == static_cast<std::size_t>(number + 1));
            }
        }
        BOOST_REQUIRE(winners == 1);
    }
    BOOST_TEST(!deployment.servedLowerRevision());
}

BOOST_AUTO_TEST_CASE(aResendGetsItsFirstAnswerAfterRestarts)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    const Change first{"first", 0, ChangePart::Register, TestDeployment::registerWith(1)};
    const Change loser{"loser", 0, ChangePart::Register, TestDeployment::registerWith(2)};
    BOOST_TEST((deployment.change("rey-b", first).code == ResultCode::Ok));
    BOOST_TEST((deployment.change("hfj-b", loser).code == ResultCode::RevisionConflict));
    BOOST_TEST((deployment.change("akr-b", {"second", 1, ChangePart::Register, TestDeployment::registerWith(3)}).code == ResultCode::Ok));
    for (const char *vm : {"rey-a", "hfj-a", "akr-a"}) {
        deployment.stop(vm);
    }
    for (const char *vm : {"rey-a", "hfj-a", "akr-a"}) {
        deployment.start(vm);
    }
    BOOST_REQUIRE(deployment.allReady());
    const ChangeReply again = deployment.change("akr-a", first);
    BOOST_TEST((again.code == ResultCode::Ok), again.reason);
    BOOST_TEST(again.revision == 1U);
    BOOST_TEST((deployment.change("rey-a", loser).code == ResultCode::RevisionConflict));
    BOOST_TEST((deployment.change("rey-a", {"first", 2, ChangePart::Rules, ""}).code == ResultCode::ChangeIdReused));
    BOOST_TEST(deployment.allAtRevision(2));
    BOOST_TEST(!deployment.servedLowerRevision());
}

BOOST_AUTO_TEST_CASE(aCutOffZoneLagsVisiblyAndCatchesUp)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(1)}).code == ResultCode::Ok));
    BOOST_REQUIRE(deployment.allAtRevision(1));
    deployment.cutOff("akr");
    const ChangeReply reply = deployment.change("rey-b", {"second", 1, ChangePart::Register, TestDeployment::registerWith(2)});
    BOOST_TEST((reply.code == ResultCode::Ok), reply.reason);
    BOOST_TEST(reply.inForceAt.size() == 4U);
    BOOST_TEST(isStale(deployment.status("rey-a"), "akr-b"));
    BOOST_TEST(!isStale(deployment.status("rey-a"), "hfj-b"));
    const ChangeReply cut = deployment.change("akr-b", {"lonely", 1, ChangePart::Rules, ""});
    BOOST_TEST((cut.code == ResultCode::ConfigurationUnavailable), base::resultName(cut.code));
    deployment.heal();
    const auto healed = base::steadyNow();
    BOOST_REQUIRE(deployment.allAtRevision(2));
    BOOST_TEST_MESSAGE("in force everywhere " << since(healed).count() << " ms after the heal");
    BOOST_TEST(!deployment.servedLowerRevision());
}

BOOST_AUTO_TEST_CASE(aSmallChangeOfALargeRegisterIsSentAsDelta)
{
    constexpr int Vms = 1200;
    constexpr std::uint64_t HeartbeatsAndHeaders = 40000;
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(Vms)}).code == ResultCode::Ok));
    BOOST_REQUIRE(deployment.allAtRevision(1));
    std::string text = TestDeployment::registerWith(Vms);
    text.replace(text.find("[vm w600]"), 9, "[vm w600-new]");
    const std::uint64_t before = deployment.bytesOut();
    BOOST_TEST((deployment.change("rey-b", {"second", 1, ChangePart::Register, text}).code == ResultCode::Ok));
    BOOST_REQUIRE(deployment.allAtRevision(2));
    const std::uint64_t spent = deployment.bytesOut() - before;
    BOOST_TEST_MESSAGE("a register of " << text.size() << " bytes, one VM renamed: " << spent << " bytes between six VMs, the operator's text included");
    BOOST_TEST(spent < text.size() + HeartbeatsAndHeaders); // The complete text is sent once, from the operator's entry VM to the leader.
    BOOST_TEST(deployment["akr-b"].current()->registerText == text);
}

BOOST_AUTO_TEST_CASE(aVmWithoutDiskThatRestartsCutOffTakesItsZonesRevision)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(1)}).code == ResultCode::Ok));
    BOOST_REQUIRE(deployment.allAtRevision(1));
    deployment.cutOff("akr");
    deployment.stop("akr-b");
    deployment.start("akr-b");
    BOOST_REQUIRE(support::eventually([&] { return deployment.isReady("akr-b"); }));
    BOOST_TEST(deployment["akr-b"].current()->revision == 1U);
}

BOOST_AUTO_TEST_CASE(aVmThatReachesNoOtherIsNotReady)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(1)}).code == ResultCode::Ok));
    BOOST_REQUIRE(deployment.allAtRevision(1));
    deployment.cutOff("akr");
    deployment.stop("akr-a");
    deployment.stop("akr-b");
    deployment.start("akr-b");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    BOOST_TEST(!deployment.isReady("akr-b"));
    deployment.start("akr-a");
    BOOST_REQUIRE(support::eventually([&] { return deployment.isReady("akr-a") && deployment.isReady("akr-b"); }));
    BOOST_TEST(deployment["akr-a"].current()->revision == 1U);
    BOOST_TEST(deployment["akr-b"].current()->revision == 1U);
    BOOST_TEST(!deployment.servedLowerRevision());
}

BOOST_AUTO_TEST_CASE(aMemberThatLostItsDiskComesBackAtTheGroupsRevision)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(1)}).code == ResultCode::Ok));
    deployment.stop("hfj-a");
    deployment.wipeDisk("hfj-a");
    BOOST_TEST((deployment.change("rey-b", {"second", 1, ChangePart::Register, TestDeployment::registerWith(2)}).code == ResultCode::Ok));
    deployment.start("hfj-a");
    BOOST_REQUIRE(support::eventually([&] { return deployment.isReady("hfj-a"); }));
    BOOST_TEST(deployment["hfj-a"].current()->revision == 2U);
    BOOST_REQUIRE(support::eventually([&] { return deployment["hfj-a"].groupStatus()->caughtUp; }));
    deployment.stop("rey-a");
    const ChangeReply reply = deployment.change("akr-b", {"third", 2, ChangePart::Register, TestDeployment::registerWith(3)});
    BOOST_TEST((reply.code == ResultCode::Ok), reply.reason);
    BOOST_TEST(!deployment.servedLowerRevision());
}

/// Load pattern: the disks of all members fill up just after they have synced a change to their logs. No other VM has the revision to fetch it from.
BOOST_AUTO_TEST_CASE(aRevisionThatNoMemberCouldSaveTakesEffectOnceTheDisksHaveSpace)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    const std::vector<std::string> members{"rey-a", "hfj-a", "akr-a"};
    for (const std::string &vm : members) {
        deployment.fillDiskOfRevisionFile(vm);
    }
    const ChangeReply reply = deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(5)});
    BOOST_TEST((reply.code == ResultCode::Ok), reply.reason);
    BOOST_TEST(reply.inForceAt.empty());
    BOOST_TEST(deployment.allAtRevision(0));
    for (const std::string &vm : members) {
        deployment.freeDiskOfRevisionFile(vm);
    }
    BOOST_TEST(deployment.allAtRevision(1));
    BOOST_TEST(!deployment.servedLowerRevision());
}

BOOST_AUTO_TEST_CASE(aVmWhoseRevisionFileCannotBeReadStartsAndFetchesIt)
{
    TestDeployment deployment;
    deployment.startAll();
    BOOST_REQUIRE(deployment.allReady());
    BOOST_TEST((deployment.change("rey-b", {"first", 0, ChangePart::Register, TestDeployment::registerWith(1)}).code == ResultCode::Ok));
    deployment.stop("hfj-a");
    deployment.makeRevisionFileUnreadable("hfj-a");
    deployment.start("hfj-a");
    BOOST_REQUIRE(support::eventually([&] { return deployment.isReady("hfj-a"); }));
    BOOST_TEST(deployment["hfj-a"].current()->revision == 1U);
    BOOST_TEST(!deployment.servedLowerRevision());
}

BOOST_AUTO_TEST_SUITE_END()
