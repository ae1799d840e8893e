#pragma once

#include "replication/CoreOptions.h"
#include "replication/Group.h"
#include "replication/LogStore.h"
#include "replication/StateMachine.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace cranberryreel::replication
{

/// Settings and dependencies of a GroupRunner, filled by GroupBuilder.
struct GroupRunnerOptions {
    CoreOptions core;
    std::unique_ptr<LogStore> store; ///< Taken by the GroupRunner.
    StateMachine *stateMachine = nullptr; ///< Not owned.
    LeadershipListener *listener = nullptr; ///< Not owned; may be null.
    SendToMember sendToMember;
    std::uint64_t snapshotEveryEntries = 8192; ///< Entries applied since the last snapshot after which the next one is taken.
    std::size_t snapshotEveryBytes = 8UL * 1024 * 1024; ///< Bytes applied since the last snapshot after which the next one is taken.
    std::chrono::milliseconds compactionRetryInterval{5000}; ///< Pause after a failed snapshot or compaction.
    std::uint64_t retainedEntries = 2048; ///< Limit of entries before a snapshot that stay in memory, for members that lag a little.
    std::size_t retainedBytes = 1024UL * 1024; ///< Limit of the bytes of these entries.
};

} // namespace cranberryreel::replication
