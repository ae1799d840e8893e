#include "LimitedDisk.h"
#include "TestCluster.h"
#include "support/TemporaryFolder.h"

#include "observe/Metrics.h"
#include "replication/DiskLogStore.h"
#include "replication/GroupRunner.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace cranberryreel;
using namespace cranberryreel::replication;

namespace
{

/// A log store whose every write fails as on a full disk.
class FullDisk : public LogStore
{
public:
    Recovered recover() override
    {
        return {};
    }

    void write(const CoreOutput & /*output*/) override
    {
        throw base::Error(base::ResultCode::StorageWriteFailed, "Cannot write: no space.");
    }

    void compact(const Snapshot & /*snapshot*/, const HardState & /*hardState*/, const std::vector<Entry> & /*entriesAfter*/) override
    {
    }
};

/// A state of constant size: the last command, padded.
class SizedMachine : public StateMachine
{
public:
    explicit SizedMachine(std::size_t stateBytes)
        : state(stateBytes, ' ')
    {
    }

    std::string apply(std::uint64_t /*index*/, std::string_view command) override
    {
        this->state.replace(0, command.size(), command);
        return "";
    }

    std::string snapshot() const override
    {
        return this->state;
    }

    void restore(std::string_view bytes) override
    {
        this->state = std::string(bytes);
    }

private:
    std::string state;
};

/// A group of one member on a disk with limits.
class LoneMember
{
public:
    LoneMember()
        : disk(this->folder.name())
    {
    }

    /// The listener and the state machine are those of the last start.
    void start()
    {
        this->machine = std::make_unique<ListMachine>();
        this->listener = std::make_unique<CountingListener>();
        GroupRunnerOptions options;
        options.core.ownVm = "c1";
        options.core.boot = ++this->boot;
        options.core.members = Membership({Member{"c1", true, false}});
        options.core.mayFormAnew = true;
        options.core.timings.formationSettle = std::chrono::milliseconds(20);
        options.core.timings.restartGrace = std::chrono::milliseconds(20);
        options.store = std::make_unique<DiskLogStore>(this->dataFolder(), this->disk);
        options.stateMachine = this->otherMachine != nullptr ? this->otherMachine : this->machine.get();
        options.listener = this->listener.get();
        options.sendToMember = [](const std::string & /*to*/, const std::string & /*bytes*/) {};
        options.snapshotEveryEntries = this->snapshotEveryEntries;
        options.snapshotEveryBytes = this->snapshotEveryBytes;
        options.compactionRetryInterval = std::chrono::milliseconds(300);
        this->group = std::make_unique<GroupRunner>(std::move(options));
        this->group->start();
    }

    std::string dataFolder() const
    {
        return this->folder.name() + "/data";
    }

    base::ResultCode propose(const std::string &command)
    {
        std::promise<base::ResultCode> answer;
        this->group->propose(command, Durability::Majority, [&answer](const ProposeResult &result) { answer.set_value(result.code); });
        return answer.get_future().get();
    }

    bool eventuallyLeads()
    {
        return TestCluster::eventually([this] { return this->group->status().leader; });
    }

    bool hasSnapshot() const
    {
        for (const auto &item : std::filesystem::directory_iterator(this->dataFolder())) {
            if (const std::string name = item.path().filename().string(); name.rfind("snapshot-", 0) == 0 && name.find(".tmp") == std::string::npos) {
                return true;
            }
        }
        return false;
    }

    support::TemporaryFolder folder;
    LimitedDisk disk;
    std::unique_ptr<ListMachine> machine;
    std::unique_ptr<CountingListener> listener;
    std::unique_ptr<GroupRunner> group;
    std::uint64_t snapshotEveryEntries = 20;
    std::size_t snapshotEveryBytes = GroupRunnerOptions().snapshotEveryBytes;
    StateMachine *otherMachine = nullptr; ///< Not owned; replaces the list where it is set.

private:
    std::uint64_t boot = 0;
};

std::uint64_t compactionFailures()
{
    return observe::counter("cranberryreel_group_compaction_failures_total", "Failed compactions of a member's log.").value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupRunnerTest)

BOOST_AUTO_TEST_CASE(aMemberWhoseDiskRefusesWritesLeavesTheGroupAndReportsTheReason)
{
    ListMachine machine;
    GroupRunnerOptions options;
    options.core.ownVm = "c1";
    options.core.boot = 1;
    options.core.members = Membership({Member{"c1", true, false}});
    options.core.timings.formationSettle = std::chrono::milliseconds(20);
    options.store = std::make_unique<FullDisk>();
    options.stateMachine = &machine;
    options.sendToMember = [](const std::string & /*to*/, const std::string & /*bytes*/) {};
    GroupRunner group(std::move(options));
    group.start();
    BOOST_TEST(TestCluster::eventually([&group] { return group.status().reason == "Cannot write: no space."; }));
    BOOST_TEST(!group.status().leader);
    base::ResultCode code = base::ResultCode::Ok;
    group.propose("one", Durability::Majority, [&code](const ProposeResult &result) { code = result.code; });
    BOOST_TEST((code == base::ResultCode::NotLeader));
}

BOOST_AUTO_TEST_CASE(aLeaderWhoseDiskIsFullGivesUpItsLeaseAtOnceAndReturnsWithItsLog)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({Member{"c1", true, false}}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("before") == "c1");
    cluster.setDiskFull("c1", true);
    BOOST_TEST((cluster.propose("c1", "during").code == base::ResultCode::GroupUnavailable));
    BOOST_TEST(!cluster.group("c1").status().leader);
    BOOST_TEST(cluster.group("c1").status().reason == "Cannot write: no space.");
    BOOST_TEST((cluster.propose("c1", "refused").code == base::ResultCode::NotLeader));
    BOOST_TEST((cluster.readBarrier("c1") == base::ResultCode::GroupUnavailable));
    cluster.setDiskFull("c1", false);
    BOOST_TEST_REQUIRE(cluster.commit("after") == "c1");
    const std::vector<std::string> expected{"before", "after"};
    BOOST_TEST(cluster.machine("c1").lines() == expected, boost::test_tools::per_element());
    cluster.kill("c1");
    cluster.start("c1");
    BOOST_TEST_REQUIRE(cluster.commit("restarted") == "c1");
    BOOST_TEST(cluster.machine("c1").lines().size() == 3U);
}

BOOST_AUTO_TEST_CASE(aFailedProposalFindsTheReasonInTheStatus)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({Member{"c1", true, false}}, folder.name());
    cluster.startAll();
    BOOST_TEST_REQUIRE(cluster.commit("before") == "c1");
    cluster.setDiskFull("c1", true);
    std::promise<GroupStatus> seen;
    Group &group = cluster.group("c1");
    group.propose("during", Durability::Majority, [&group, &seen](const ProposeResult & /*result*/) { seen.set_value(group.status()); });
    const GroupStatus status = seen.get_future().get();
    BOOST_TEST(!status.leader);
    BOOST_TEST(!status.caughtUp);
    BOOST_TEST(status.leaderVm.empty());
    BOOST_TEST(status.reason == "Cannot write: no space.");
}

/// Load pattern: a disk is full for a while, and when it has space again another member is cut off.
BOOST_AUTO_TEST_CASE(aMemberWhoseDiskWasFullStandsInForTheNextLostMember)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({Member{"c1", true, false}, Member{"c2", true, false}, Member{"c3", true, false}}, folder.name());
    cluster.startAll();
    const std::string firstLeader = cluster.commit("before");
    BOOST_TEST_REQUIRE(!firstLeader.empty());
    // A group just founded stands still without a member until all of them count toward majorities (docs/design/replication.md).
    const auto allCount = [&cluster] {
        return cluster.group("c1").status().caughtUp && cluster.group("c2").status().caughtUp && cluster.group("c3").status().caughtUp;
    };
    BOOST_TEST_REQUIRE(TestCluster::eventually(allCount));
    cluster.setDiskFull(firstLeader, true);
    const std::string secondLeader = cluster.commit("during");
    BOOST_TEST_REQUIRE(!secondLeader.empty());
    BOOST_TEST(secondLeader != firstLeader);
    cluster.setDiskFull(firstLeader, false);
    BOOST_TEST_REQUIRE(TestCluster::eventually([&] { return allCount() && cluster.machine(firstLeader).lines().size() == 2; }));
    cluster.isolate(secondLeader);
    BOOST_TEST(!cluster.commit("after").empty());
    BOOST_TEST(TestCluster::eventually([&] { return cluster.machine(firstLeader).lines().back() == "after"; }));
}

BOOST_AUTO_TEST_CASE(aGroupWhoseDisksWereAllFullGoesOnWithAllThatWasAcknowledged)
{
    const support::TemporaryFolder folder;
    TestCluster cluster({Member{"c1", true, false}, Member{"c2", true, false}, Member{"c3", true, false}}, folder.name());
    cluster.startAll();
    std::vector<std::string> acknowledged;
    const std::vector<std::string> vms{"c1", "c2", "c3"};
    for (int round = 0; round < 3; ++round) {
        // More commands than entries between two snapshots, so that a disk is also found full by a snapshot.
        for (int i = 0; i < 40; ++i) {
            acknowledged.push_back("round " + std::to_string(round) + " command " + std::to_string(i));
            BOOST_TEST_REQUIRE(!cluster.commit(acknowledged.back()).empty());
        }
        for (const std::string &vm : vms) {
            cluster.setDiskFull(vm, true);
        }
        BOOST_TEST((cluster.propose(cluster.awaitLeader(), "lost " + std::to_string(round)).code != base::ResultCode::Ok));
        for (const std::string &vm : vms) {
            cluster.setDiskFull(vm, false);
        }
    }
    const std::string leader = cluster.commit("last");
    BOOST_TEST_REQUIRE(!leader.empty());
    const std::vector<std::string> lines = cluster.machine(leader).lines();
    for (const std::string &command : acknowledged) {
        BOOST_TEST_REQUIRE(std::count(lines.begin(), lines.end(), command) == 1);
    }
}

/// Load pattern: the disk has space for the log but not for a snapshot beside it.
BOOST_AUTO_TEST_CASE(aLeaderThatCannotCompactGoesOnAndCompactsOnceThereIsSpace)
{
    LoneMember member;
    member.start();
    BOOST_TEST_REQUIRE(member.eventuallyLeads());
    const std::string padding(500, 'x');
    const std::uint64_t failuresBefore = compactionFailures();
    for (int i = 0; i < 15; ++i) {
        BOOST_TEST_REQUIRE((member.propose("early " + std::to_string(i) + padding) == base::ResultCode::Ok));
    }
    // Space for eleven commands, less than for a snapshot of twenty.
    member.disk.setBudget(member.disk.usedBytes() + 8000);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST_REQUIRE((member.propose("late " + std::to_string(i) + padding) == base::ResultCode::Ok));
    }
    BOOST_TEST(!member.hasSnapshot());
    BOOST_TEST(member.group->status().leader);
    BOOST_TEST(compactionFailures() > failuresBefore);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    BOOST_TEST(compactionFailures() - failuresBefore <= 3U);
    member.disk.setBudget(1000000);
    BOOST_TEST(TestCluster::eventually([&member] { return member.hasSnapshot(); }));
    BOOST_TEST(member.listener->acquisitions() == 1);
    BOOST_TEST((member.propose("last") == base::ResultCode::Ok));
    member.group.reset();
    member.start();
    BOOST_TEST_REQUIRE(member.eventuallyLeads());
    BOOST_TEST(member.machine->lines().size() == 26U);
}

BOOST_AUTO_TEST_CASE(aMemberStartsOnADiskThatRefusesItsFolderAndJoinsLater)
{
    LoneMember member;
    member.disk.setRefusesFolders(true);
    member.disk.setBudget(0);
    BOOST_REQUIRE_NO_THROW(member.start());
    BOOST_TEST(!member.group->status().caughtUp);
    BOOST_TEST(member.group->status().reason.find("No space left on device") != std::string::npos);
    BOOST_TEST((member.propose("refused") == base::ResultCode::NotLeader));
    member.disk.setRefusesFolders(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    BOOST_TEST(!member.group->status().leader);
    member.disk.setBudget(1000000);
    BOOST_TEST(member.eventuallyLeads());
    BOOST_TEST((member.propose("accepted") == base::ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(aLeaderWhoseDiskHangsAnswersItsCallersAndGoesOnAfterwards)
{
    LoneMember member;
    member.start();
    BOOST_TEST_REQUIRE(member.eventuallyLeads());
    const auto answered = [](auto &answer) { return answer.wait_for(std::chrono::seconds(5)) == std::future_status::ready; };
    const auto propose = [&member](const std::string &command) {
        auto promise = std::make_shared<std::promise<base::ResultCode>>();
        auto answer = promise->get_future();
        member.group->propose(command, Durability::Majority, [promise](const ProposeResult &result) { promise->set_value(result.code); });
        return answer;
    };
    member.disk.setHung(true);
    auto inLog = propose("in the log");
    BOOST_TEST_REQUIRE(TestCluster::eventually([&member] { return member.disk.isHolding(); }));
    auto queued = propose("queued");
    auto read = std::make_shared<std::promise<base::ResultCode>>();
    auto barrier = read->get_future();
    member.group->readBarrier([read](base::ResultCode code) { read->set_value(code); });
    BOOST_CHECK(answered(inLog) && inLog.get() == base::ResultCode::GroupUnavailable);
    BOOST_CHECK(answered(queued) && queued.get() == base::ResultCode::NotLeader);
    BOOST_CHECK(answered(barrier) && barrier.get() == base::ResultCode::GroupUnavailable);
    const GroupStatus status = member.group->status();
    BOOST_TEST(!status.leader);
    BOOST_TEST(!status.caughtUp);
    BOOST_TEST(status.leaderVm.empty());
    BOOST_TEST(!status.reason.empty());
    BOOST_TEST(!member.group->holdsLease(base::steadyNow()));
    auto late = propose("late");
    BOOST_CHECK(answered(late) && late.get() == base::ResultCode::NotLeader);
    member.group->receive("c2", "bytes");
    member.disk.setHung(false);
    BOOST_TEST(TestCluster::eventually([&member] { return member.group->status().leader && member.group->status().reason.empty(); }));
    auto after = propose("after");
    BOOST_CHECK(answered(after) && after.get() == base::ResultCode::Ok);
    const std::vector<std::string> expected{"in the log", "after"};
    BOOST_TEST(member.machine->lines() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aMemberWhoseDiskHangsStopsWithinItsLimit)
{
    LoneMember member;
    member.start();
    BOOST_TEST_REQUIRE(member.eventuallyLeads());
    member.disk.setHung(true);
    member.group->propose("held", Durability::Majority, [](const ProposeResult & /*result*/) {});
    BOOST_TEST_REQUIRE(TestCluster::eventually([&member] { return member.disk.isHolding(); }));
    constexpr std::chrono::milliseconds Limit{2500};
    auto stopped = std::async(std::launch::async, [&member, Limit] { member.group->stop(Limit); });
    BOOST_TEST((stopped.wait_for(Limit + std::chrono::milliseconds(1500)) == std::future_status::ready));
    BOOST_TEST(member.disk.isHolding());
    // The thread in the disk outlives the group, and must not use it once the disk returns.
    auto destroyed = std::async(std::launch::async, [&member] { member.group.reset(); });
    BOOST_TEST((destroyed.wait_for(std::chrono::seconds(1)) == std::future_status::ready));
    member.disk.setHung(false);
    BOOST_TEST(TestCluster::eventually([&member] { return !member.disk.isHolding(); }));
    stopped.wait();
    destroyed.wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
}

BOOST_AUTO_TEST_CASE(aMemberStartsOnADiskThatHangsAndJoinsLater)
{
    LoneMember member;
    member.disk.setHung(true);
    auto started = std::async(std::launch::async, [&member] { member.start(); });
    BOOST_TEST((started.wait_for(std::chrono::seconds(5)) == std::future_status::ready));
    if (member.group != nullptr) {
        BOOST_TEST(!member.group->status().caughtUp);
        BOOST_TEST(!member.group->status().reason.empty());
    }
    member.disk.setHung(false);
    started.wait();
    BOOST_TEST(member.eventuallyLeads());
}

/// The folder holds at most the snapshot twice, during a compaction, and a log of the bytes after which a snapshot is due.
BOOST_AUTO_TEST_CASE(theDataFolderStaysWithinTwoSnapshotsAndOneLog)
{
    constexpr std::size_t StateBytes = 48UL * 1024;
    constexpr std::size_t CommandBytes = 512;
    constexpr std::size_t FrameOverheadBytes = 256;
    constexpr std::size_t FolderMargin = 8UL * 1024;
    constexpr int Commands = 4000;
    SizedMachine machine(StateBytes);
    LoneMember member;
    member.otherMachine = &machine;
    member.snapshotEveryEntries = Commands;
    member.snapshotEveryBytes = 64UL * 1024;
    member.start();
    BOOST_TEST_REQUIRE(member.eventuallyLeads());
    const std::string padding(CommandBytes - 8, 'x');
    for (int i = 0; i < Commands; ++i) {
        BOOST_TEST_REQUIRE((member.propose(std::to_string(10000000 + i) + padding) == base::ResultCode::Ok));
    }
    const std::size_t logBytes = (member.snapshotEveryBytes / CommandBytes + 1) * (CommandBytes + FrameOverheadBytes);
    BOOST_TEST_MESSAGE("commands " << Commands * CommandBytes << " B, state " << StateBytes << " B, snapshot due after " << member.snapshotEveryBytes
                                   << " B; peak of the folder " << member.disk.peakBytes() << " B, at the end " << member.disk.usedBytes() << " B");
    BOOST_TEST(member.disk.peakBytes() <= 2 * StateBytes + logBytes + FolderMargin);
    BOOST_TEST(member.disk.peakBytes() > 2 * StateBytes);
    member.group.reset();
}

BOOST_AUTO_TEST_CASE(aBuilderRefusesInconsistentSettings)
{
    ListMachine machine;
    const auto builder = [&machine] {
        GroupBuilder made;
        made.ownVm("a1").members({Member{"a1", false, false}}).stateMachine(machine).sendBy([](const std::string & /*to*/, const std::string & /*bytes*/) {});
        return made;
    };
    const auto inconsistent = [](const base::Error &error) { return error.code() == base::ResultCode::SettingsInconsistent; };
    BOOST_CHECK_EXCEPTION(GroupBuilder().build(), base::Error, inconsistent);
    BOOST_CHECK_EXCEPTION(builder().ownVm("a2").build(), base::Error, inconsistent);
    BOOST_CHECK_EXCEPTION(builder().members({Member{"a1", true, false}}).build(), base::Error, inconsistent);
    GroupTimings noMargin;
    noMargin.driftMargin = std::chrono::milliseconds(0);
    BOOST_CHECK_EXCEPTION(builder().timings(noMargin).build(), base::Error, inconsistent);
    BOOST_CHECK_NO_THROW(builder().build());
}

BOOST_AUTO_TEST_SUITE_END()
