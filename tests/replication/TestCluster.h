#pragma once

#include "replication/GroupBuilder.h"
#include "replication/StateMachine.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// A state machine that stores each applied command once, as a line; repeating a command changes nothing.
class ListMachine : public StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;
    std::vector<std::string> lines() const;

private:
    mutable absl::Mutex mutex;
    std::vector<std::string> list ABSL_GUARDED_BY(mutex);
};

/// Counts how often leadership is acquired.
class CountingListener : public LeadershipListener
{
public:
    void leadershipAcquired(std::uint64_t term) override;
    void leadershipLost(std::uint64_t term) override;
    int acquisitions() const;

private:
    mutable absl::Mutex mutex;
    int acquiredCount ABSL_GUARDED_BY(mutex) = 0;
};

/// Several group members in one process, connected by direct calls that a test can block.
class TestCluster
{
public:
    explicit TestCluster(std::vector<Member> members, std::string folder = "");
    ~TestCluster();

    void start(const std::string &vm);
    void startAll();

    /// Sets the membership and mayFormAnew in the settings of members started from now on. startAll() keeps using the constructor's list.
    void setConfiguredMembers(std::vector<Member> configuredMembers, bool mayFormAnew);

    /// Members started from now on take no part in a cold start after they have committed anything.
    void setFormsOnlyOnce();

    /// Proposes this membership to the leader until the change is committed; false after the time limit.
    bool changeMembers(const std::vector<Member> &wanted);

    /// Has the leader make a started VM a standby; false if it does not hold the log within the time limit.
    bool followAsStandby(const std::string &vm);

    /// Ends the member without a handover; its in-memory state is lost.
    void kill(const std::string &vm);
    void stop(const std::string &vm, std::chrono::milliseconds limit);
    void isolate(const std::string &vm);

    /// Has the member's disk refuse to write, or accept it again.
    void setDiskFull(const std::string &vm, bool full);
    void heal();

    Group &group(const std::string &vm);
    ListMachine &machine(const std::string &vm);
    CountingListener &listener(const std::string &vm);
    std::string folderOf(const std::string &vm) const;

    /// Waits for a member that holds the lease and returns its VM; empty after the time limit.
    std::string awaitLeader();
    ProposeResult propose(const std::string &vm, const std::string &command, Durability durability = Durability::Majority);

    /// Proposes the command to the leader until it is applied and returns the leader's VM; empty after the time limit.
    std::string commit(const std::string &command, Durability durability = Durability::Majority);

    /// Starts a new member and has the leader replace another member by it. Returns the leader's VM; empty after the time limit.
    std::string replaceMember(const std::string &from, const Member &to);
    base::ResultCode readBarrier(const std::string &vm);

    /// Polls until the condition holds; false after a time limit of 30 s.
    static bool eventually(const std::function<bool()> &condition);

private:
    struct Node {
        std::unique_ptr<ListMachine> machine;
        std::unique_ptr<CountingListener> listener;
        std::unique_ptr<Group> group;
    };

    void deliver(const std::string &from, const std::string &to, std::string bytes);

    std::vector<Member> members;
    std::optional<std::vector<Member>> configuredMembers;
    std::map<std::string, std::shared_ptr<std::atomic<bool>>> fullDisks; ///< By VM, for members with a disk that have been started.
    bool mayFormAnew = true;
    bool formsOnlyOnce = false;
    std::string folder;
    absl::Mutex mutex;
    std::map<std::string, std::shared_ptr<Node>> nodes ABSL_GUARDED_BY(mutex);
    std::set<std::string> isolated ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::replication
