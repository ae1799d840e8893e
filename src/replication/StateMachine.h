#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// The state that a group replicates. The group's own thread applies the same commands in log order on every member. Owned by the owner of the group and must
/// outlive the group. apply() must be deterministic: no clock, no randomness, no I/O.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies one committed command. On the member that proposed the command the result is passed to the proposer's callback.
    virtual std::string apply(std::uint64_t index, std::string_view command) = 0;

    /// Serializes the whole state, for log compaction and for members that lag too far behind.
    virtual std::string snapshot() const = 0;

    /// Replaces the state. Throws base::Error(SnapshotCorrupt) when the bytes are not valid.
    virtual void restore(std::string_view bytes) = 0;
};

} // namespace cranberryreel::replication
