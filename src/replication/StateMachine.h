#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// What a group replicates: commands are applied in log order, on every member alike, by the group's own thread. Owned by whoever owns the group; it must
/// outlive it. Apply must be deterministic: no clock, no randomness, no I/O.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies one committed command and returns its result, which reaches the proposer on the member that proposed it.
    virtual std::string apply(std::uint64_t index, std::string_view command) = 0;

    /// The whole live state, for compaction and for members that need to be caught up.
    virtual std::string snapshot() const = 0;

    /// Replaces the state. Throws base::Error(SnapshotCorrupt) when the bytes cannot be read.
    virtual void restore(std::string_view bytes) = 0;
};

} // namespace cranberryreel::replication
