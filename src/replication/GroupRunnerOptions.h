#pragma once

#include "replication/CoreOptions.h"
#include "replication/Group.h"
#include "replication/LogStore.h"
#include "replication/StateMachine.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace cranberryreel::replication
{

/// What a GroupBuilder hands to the group that it makes.
struct GroupRunnerOptions {
    CoreOptions core;
    std::unique_ptr<LogStore> store;
    StateMachine *stateMachine = nullptr; ///< Not owned.
    LeadershipListener *listener = nullptr; ///< Not owned; may be null.
    SendToMember sendToMember;
    std::uint64_t snapshotEveryEntries = 8192; ///< Applied since the last snapshot.
    std::size_t snapshotEveryBytes = 8UL * 1024 * 1024; ///< Or so many bytes.
    std::uint64_t retainedEntries = 2048; ///< Kept in memory behind a snapshot, for members that lag a little.
    std::size_t retainedBytes = 1024UL * 1024; ///< At most.
};

} // namespace cranberryreel::replication
