#pragma once

#include "replication/Group.h"
#include "replication/GroupTimings.h"
#include "replication/LogStore.h"
#include "replication/Member.h"
#include "replication/StateMachine.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// Builds one member of a replicated group. Used on one thread at startup.
class GroupBuilder
{
public:
    GroupBuilder &ownVm(std::string vm);

    /// The members at the group's formation; after that the log holds the membership. All members must be given the same list.
    GroupBuilder &members(std::vector<Member> list);

    /// False: this member never takes part in a cold start. For a member that joins a running group, or returns to it with an empty disk, and has no
    /// authoritative list of its members. Default: true.
    GroupBuilder &mayFormAnew(bool may);

    /// True: this member takes no part in a cold start after it has committed anything. For a group whose members keep their logs on disks and are replaced
    /// while it runs. Default: false.
    GroupBuilder &formsOnlyOnce(bool once);

    /// The folder of this member's log; required for a member with a disk, an error for one without.
    GroupBuilder &dataFolder(std::string path);

    /// Stores the log here instead of in files of the data folder; for tests of failing disks.
    GroupBuilder &logStore(std::unique_ptr<LogStore> logStore);

    /// Must outlive the group.
    GroupBuilder &stateMachine(StateMachine &machine);

    /// Must outlive the group. Optional.
    GroupBuilder &listener(LeadershipListener &leadershipListener);

    GroupBuilder &sendBy(SendToMember sendToMember);
    GroupBuilder &timings(GroupTimings groupTimings);

    /// The first term after a cold start is higher than this. Default: the wall clock in milliseconds, so that no earlier term is reused.
    GroupBuilder &termFloor(std::uint64_t term);

    /// Seed of the randomized election timeouts. Default: random.
    GroupBuilder &seed(std::uint64_t randomSeed);

    /// Number of applied entries between two snapshots.
    GroupBuilder &snapshotEvery(std::uint64_t entries);

    /// Throws base::Error: SettingsInconsistent, DataFolderUnwritable, LogCorrupt, SnapshotCorrupt, StorageWriteFailed.
    std::unique_ptr<Group> build();

private:
    void validate() const;

    std::string vm;
    std::vector<Member> memberList;
    std::string folder;
    std::unique_ptr<LogStore> store;
    bool formsAnew = true;
    bool formsOnce = false;
    StateMachine *machine = nullptr;
    LeadershipListener *leadership = nullptr;
    SendToMember send;
    GroupTimings groupTimings;
    std::optional<std::uint64_t> floor;
    std::optional<std::uint64_t> randomSeed;
    std::uint64_t snapshotEveryEntries = 8192;
};

} // namespace cranberryreel::replication
