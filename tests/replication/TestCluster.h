#pragma once

#include "replication/GroupBuilder.h"
#include "replication/StateMachine.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

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

/// Keeps every applied command as a line, once: proposing one again changes nothing.
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

/// Counts what a listener is told.
class CountingListener : public LeadershipListener
{
public:
    void leadershipGained(std::uint64_t term) override;
    void leadershipLost(std::uint64_t term) override;
    int gained() const;

private:
    mutable absl::Mutex mutex;
    int gains ABSL_GUARDED_BY(mutex) = 0;
};

/// Several members in this process, joined by direct calls that a test can cut.
class TestCluster
{
public:
    explicit TestCluster(std::vector<Member> members, std::string folder = "");
    ~TestCluster();

    void start(const std::string &vm);
    void startAll();

    /// What members that start from now on are told of the group by their settings; the first list stays what startAll() goes by.
    void tellMembers(std::vector<Member> told, bool mayFormAnew);

    /// Asks whoever leads for these members until it has them; false after the time limit.
    bool changeMembers(const std::vector<Member> &wanted);

    /// Ends the member without handing over; what it kept in memory is gone.
    void kill(const std::string &vm);
    void stop(const std::string &vm, std::chrono::milliseconds limit);
    void isolate(const std::string &vm);
    void heal();

    Group &group(const std::string &vm);
    ListMachine &machine(const std::string &vm);
    CountingListener &listener(const std::string &vm);
    std::string folderOf(const std::string &vm) const;

    /// The one member that holds the lease; waits for it. Empty after the time limit.
    std::string awaitLeader();
    ProposeResult propose(const std::string &vm, const std::string &command, Durability durability = Durability::Majority);

    /// Proposes to whoever leads until it is done, and tells who did it; empty after the time limit.
    std::string commit(const std::string &command, Durability durability = Durability::Majority);

    /// Starts a new member and has whoever leads put it in the place of another; tells who did it, empty after the time limit.
    std::string replaceMember(const std::string &from, const Member &to);
    base::ResultCode readBarrier(const std::string &vm);

    /// Polls until it holds; false after a generous time limit.
    static bool eventually(const std::function<bool()> &condition);

private:
    struct Node {
        std::unique_ptr<ListMachine> machine;
        std::unique_ptr<CountingListener> listener;
        std::unique_ptr<Group> group;
    };

    void deliver(const std::string &from, const std::string &to, std::string bytes);

    std::vector<Member> members;
    std::optional<std::vector<Member>> told;
    bool mayFormAnew = true;
    std::string folder;
    absl::Mutex mutex;
    std::map<std::string, std::shared_ptr<Node>> nodes ABSL_GUARDED_BY(mutex);
    std::set<std::string> isolated ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::replication
