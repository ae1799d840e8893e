#include "TestCluster.h"
#include "support/TemporaryFolder.h"

#include "replication/DiskLogStore.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <thread>

using namespace cranberryreel;
using namespace cranberryreel::replication;

namespace
{

const Member C1{"c1", true, false};
const Member C2{"c2", true, false};
const Member C3{"c3", true, false};
const Member C4{"c4", true, false};
const Member C5{"c5", true, false};
const Member C6{"c6", true, false};
/// Several times the duration of an election with the timings of these tests.
constexpr std::chrono::milliseconds LongEnough{1500};

} // namespace

/// Members that know each other from seeds only: the list in their settings may change or contain VMs that are no members.
BOOST_AUTO_TEST_SUITE(JoiningTest)

BOOST_AUTO_TEST_CASE(membersComeFromTheLogAndNotFromLaterSettings)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    for (const std::string vm : {"c1", "c2", "c3"}) {
        cluster.kill(vm);
    }
    cluster.heal();
    cluster.setConfiguredMembers({C1, C2, C4}, false);
    cluster.start("c1");
    cluster.setConfiguredMembers({C2, C4, {"c5", true, false}}, false);
    cluster.start("c2");
    BOOST_TEST_REQUIRE(cluster.commit("two") != "");
    BOOST_TEST(cluster.group("c1").status().members == (std::vector<std::string>{"c1", "c2", "c3"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(blankVmsThatMayNotFormAGroupNeverDo)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.setConfiguredMembers({C1, C2, C3}, false);
    cluster.startAll();
    std::this_thread::sleep_for(LongEnough);
    for (const std::string vm : {"c1", "c2", "c3"}) {
        BOOST_TEST(cluster.group(vm).status().leaderVm == "");
        BOOST_TEST((cluster.propose(vm, "one").code == base::ResultCode::NotLeader));
    }
}

BOOST_AUTO_TEST_CASE(aStandByVmReplacesALostMember)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    cluster.kill("c3");
    cluster.setConfiguredMembers({C1, C2, C3, C4}, false);
    cluster.start("c4");
    BOOST_TEST_REQUIRE(cluster.changeMembers({C1, C2, C4}));
    BOOST_TEST_REQUIRE(TestCluster::eventually([&] { return cluster.group("c4").status().caughtUp; }));
    BOOST_TEST((cluster.machine("c4").lines() == std::vector<std::string>{"one"}));
    // The new member counts, so the group survives the loss of another one.
    cluster.kill("c1");
    BOOST_TEST_REQUIRE(cluster.commit("two") != "");
    BOOST_TEST(TestCluster::eventually([&] { return cluster.machine("c4").lines() == (std::vector<std::string>{"one", "two"}); }));
}

/// Guards against a replacement that leaves a member without the log behind: right after it all lose power and another member its disk.
BOOST_AUTO_TEST_CASE(aStandbyHoldsTheLogBeforeItReplacesALostMember)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    cluster.setConfiguredMembers({C1, C2, C3, C4}, false);
    cluster.start("c4");
    BOOST_TEST_REQUIRE(cluster.followAsStandby("c4"));
    BOOST_TEST((cluster.machine("c4").lines() == std::vector<std::string>{"one"}));
    cluster.kill("c3");
    BOOST_TEST_REQUIRE(cluster.changeMembers({C1, C2, C4}));
    const std::vector<std::string> replaced{"c1", "c2", "c4"};
    for (const std::string &vm : replaced) {
        BOOST_TEST_REQUIRE(TestCluster::eventually([&] {
            const GroupStatus status = cluster.group(vm).status();
            return status.members == replaced && !status.changingMembers;
        }));
    }
    for (const std::string &vm : replaced) {
        cluster.kill(vm);
    }
    cluster.heal();
    std::filesystem::remove_all(cluster.folderOf("c1"));
    for (const std::string &vm : replaced) {
        cluster.start(vm);
    }
    BOOST_TEST_REQUIRE(cluster.commit("two") != "");
    BOOST_TEST(TestCluster::eventually([&] { return cluster.machine("c1").lines() == (std::vector<std::string>{"one", "two"}); }));
}

BOOST_AUTO_TEST_CASE(aStandbyCountsTowardNoMajority)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    cluster.setConfiguredMembers({C1, C2, C3, C4}, false);
    cluster.start("c4");
    BOOST_TEST_REQUIRE(cluster.followAsStandby("c4"));
    const std::string leader = cluster.awaitLeader();
    for (const std::string vm : {"c1", "c2", "c3"}) {
        if (vm != leader) {
            cluster.kill(vm);
        }
    }
    BOOST_TEST((cluster.propose(leader, "two").code != base::ResultCode::Ok));
    std::this_thread::sleep_for(LongEnough);
    BOOST_TEST(!cluster.group(leader).status().leader);
    BOOST_TEST(!cluster.group("c4").status().leader);
}

/// Guards against a restart that requires majorities of earlier memberships: a group grows from three members to five, then all lose power and two their
/// disks.
BOOST_AUTO_TEST_CASE(afterARestartOnlyTheLastCommittedMembershipCounts)
{
    const support::TemporaryFolder folder;
    const Member c5{"c5", true, false};
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    cluster.setConfiguredMembers({C1, C2, C3, C4, c5}, false);
    cluster.start("c4");
    cluster.start("c5");
    BOOST_TEST_REQUIRE(cluster.changeMembers({C1, C2, C3, C4}));
    BOOST_TEST_REQUIRE(TestCluster::eventually([&] { return cluster.group("c4").status().caughtUp; }));
    BOOST_TEST_REQUIRE(cluster.changeMembers({C1, C2, C3, C4, c5}));
    BOOST_TEST_REQUIRE(TestCluster::eventually([&] { return cluster.group("c5").status().caughtUp; }));
    BOOST_TEST_REQUIRE(cluster.commit("two") != "");
    for (const std::string vm : {"c1", "c2", "c5"}) {
        BOOST_TEST_REQUIRE(TestCluster::eventually([&] { return cluster.machine(vm).lines().size() == 2; }));
    }
    for (const std::string vm : {"c1", "c2", "c3", "c4", "c5"}) {
        cluster.kill(vm);
    }
    cluster.heal();
    for (const std::string vm : {"c3", "c4"}) {
        std::filesystem::remove_all(cluster.folderOf(vm));
    }
    for (const std::string vm : {"c1", "c2", "c3", "c4", "c5"}) {
        cluster.start(vm);
    }
    BOOST_TEST_REQUIRE(cluster.commit("three") != "");
    BOOST_TEST(TestCluster::eventually([&] { return cluster.machine("c4").lines().size() == 3; }));
}

BOOST_AUTO_TEST_CASE(aMemberThatLostItsDiskCountsOnlyOnceCaughtUp)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    for (const std::string vm : {"c1", "c2", "c3"}) {
        cluster.kill(vm);
    }
    cluster.heal();
    std::filesystem::remove_all(cluster.folderOf("c2"));
    cluster.setConfiguredMembers({C1, C2, C3}, false);
    cluster.start("c2");
    cluster.start("c3");
    std::this_thread::sleep_for(LongEnough);
    BOOST_TEST((cluster.propose("c3", "two").code == base::ResultCode::NotLeader)); // Only one of three members has its log.
    cluster.start("c1");
    BOOST_TEST_REQUIRE(cluster.commit("two") != "");
    BOOST_TEST(TestCluster::eventually([&] { return cluster.machine("c2").lines() == (std::vector<std::string>{"one", "two"}); }));
}

/// A VM that has just become a standby has had no time to answer; the keeper would prefer any other VM to it.
BOOST_AUTO_TEST_CASE(aNewStandbyIsNotSilentFromTheStartOfTheTerm)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    const std::string leader = cluster.awaitLeader();
    std::chrono::milliseconds seen{-1};
    cluster.group(leader).setStandbys({"c4"}); // Not started yet.
    BOOST_TEST_REQUIRE(TestCluster::eventually([&] {
        const GroupStatus status = cluster.group(leader).status();
        const PeerHealth *peer = status.findPeer("c4");
        seen = peer == nullptr ? seen : peer->silentFor;
        return peer != nullptr;
    }));
    BOOST_TEST(seen.count() < 1000);
}

/// A standby that answers but lacks the committed log is not ready to replace a member.
BOOST_AUTO_TEST_CASE(aStandbyThatLagsDoesNotCount)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    cluster.setConfiguredMembers({C1, C2, C3, C4}, false);
    cluster.start("c4");
    BOOST_TEST_REQUIRE(cluster.followAsStandby("c4"));
    cluster.isolate("c4");
    const std::string large(1024UL * 1024, 'x');
    for (int i = 0; i < 60; ++i) {
        BOOST_TEST_REQUIRE(cluster.commit(large + std::to_string(i)) != "");
    }
    std::string leader;
    GroupStatus status;
    // Standbys are forgotten when leadership ends, so that whoever leads is told of them again, as CellMember does.
    const auto isListed = [&] {
        leader = cluster.awaitLeader();
        cluster.group(leader).setStandbys({"c4"});
        status = cluster.group(leader).status();
        return status.findPeer("c4") != nullptr;
    };
    const auto isReady = [&] { return isListed() && status.findPeer("c4")->hasStoredWithin(std::chrono::milliseconds(1000)); };
    BOOST_TEST_REQUIRE(TestCluster::eventually(isListed));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    BOOST_TEST_REQUIRE(TestCluster::eventually(isListed));
    BOOST_TEST_REQUIRE(status.committed > cluster.group("c4").status().committed + 50);
    BOOST_TEST(!status.findPeer("c4")->hasStoredWithin(std::chrono::milliseconds(1000)));
    cluster.heal();
    BOOST_TEST_REQUIRE(TestCluster::eventually(isReady));
    const std::uint64_t committed = cluster.group(leader).status().committed;
    cluster.kill("c4");
    const Recovered stored = DiskLogStore(cluster.folderOf("c4")).recover();
    BOOST_TEST((stored.snapshot ? stored.snapshot->index : 0) + stored.entries.size() >= committed);
}

/// A founding VM that was replaced while it was cut off must not form a second group with two other replaced VMs.
BOOST_AUTO_TEST_CASE(aReplacedFoundingMemberFormsNoSecondGroup)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({C1, C2, C3}, folder.name());
    cluster.setFormsOnlyOnce();
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("one") != "");
    cluster.setConfiguredMembers({C1, C2, C3, C4, C5, C6}, false);
    cluster.start("c4");
    cluster.start("c5");
    cluster.start("c6");
    cluster.isolate("c3");
    BOOST_TEST_REQUIRE(TestCluster::eventually([&] { return !cluster.group("c3").status().leader; }));
    BOOST_TEST_REQUIRE(cluster.changeMembers({C1, C2, C4}));
    BOOST_TEST_REQUIRE(cluster.commit("two") != "");
    const auto caughtUp = [&](const std::string &vm) { return TestCluster::eventually([&] { return cluster.group(vm).status().caughtUp; }); };
    BOOST_TEST_REQUIRE(caughtUp("c4"));
    cluster.kill("c2");
    BOOST_TEST_REQUIRE(cluster.changeMembers({C1, C4, C5}));
    BOOST_TEST_REQUIRE(caughtUp("c5"));
    cluster.kill("c1");
    BOOST_TEST_REQUIRE(cluster.changeMembers({C4, C5, C6}));
    BOOST_TEST_REQUIRE(caughtUp("c6"));
    BOOST_TEST_REQUIRE(cluster.commit("three") != "");
    std::filesystem::remove_all(cluster.folderOf("c1"));
    std::filesystem::remove_all(cluster.folderOf("c2"));
    cluster.setConfiguredMembers({C1, C2, C3}, false);
    cluster.start("c1");
    cluster.start("c2");
    cluster.heal();
    bool second = false;
    const base::SteadyTime end = base::steadyNow() + std::chrono::seconds(6);
    while (!second && base::steadyNow() < end) {
        for (const std::string vm : {"c1", "c2", "c3"}) {
            second = second || cluster.group(vm).status().leader;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(!second);
}

BOOST_AUTO_TEST_SUITE_END()
