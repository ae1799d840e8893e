#pragma once

#include "replication/Group.h"
#include "replication/GroupTimings.h"
#include "replication/Member.h"
#include "replication/StateMachine.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// Makes one member of a group.
class GroupBuilder
{
public:
    GroupBuilder &ownVm(std::string vm);

    /// The members at the group's formation; later the log says who they are. All members must be given the same.
    GroupBuilder &members(std::vector<Member> list);

    /// False: this member never takes part in a cold start. For one that joins a running group, or comes back to it with an empty disk, and knows its
    /// members only by hearsay. Default: true.
    GroupBuilder &mayFormAnew(bool may);

    /// Where this member keeps its log; needed for a member with a disk, refused for one without.
    GroupBuilder &dataFolder(std::string path);

    /// Must outlive the group.
    GroupBuilder &stateMachine(StateMachine &machine);

    /// Must outlive the group. Optional.
    GroupBuilder &listener(LeadershipListener &leadershipListener);

    GroupBuilder &sendBy(SendToMember sendToMember);
    GroupBuilder &timings(GroupTimings groupTimings);

    /// A group formed anew starts with a higher term. Default: the wall clock in milliseconds, so that no earlier term comes back.
    GroupBuilder &termFloor(std::uint64_t term);

    /// Of the randomized election timeouts. Default: random.
    GroupBuilder &seed(std::uint64_t randomSeed);

    /// Applied commands between two snapshots.
    GroupBuilder &snapshotEvery(std::uint64_t entries);

    /// Throws base::Error: SettingsInconsistent, DataFolderUnwritable, LogCorrupt, SnapshotCorrupt, StorageWriteFailed.
    std::unique_ptr<Group> build();

private:
    void check() const;

    std::string vm;
    std::vector<Member> memberList;
    std::string folder;
    bool formsAnew = true;
    StateMachine *machine = nullptr;
    LeadershipListener *leadership = nullptr;
    SendToMember send;
    GroupTimings groupTimings;
    std::optional<std::uint64_t> floor;
    std::optional<std::uint64_t> randomSeed;
    std::uint64_t snapshotEveryEntries = 8192;
};

} // namespace cranberryreel::replication
