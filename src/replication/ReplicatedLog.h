#pragma once

#include "replication/Entry.h"
#include "replication/LogPosition.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cranberryreel::replication
{

/// The tail of the log that a member keeps in memory, after a base that a snapshot covers. Owned by the core.
class ReplicatedLog
{
public:
    std::uint64_t baseIndex() const
    {
        return this->base.index;
    }

    std::uint64_t lastIndex() const
    {
        return this->base.index + this->tail.size();
    }

    LogPosition last() const
    {
        return this->tail.empty() ? this->base : LogPosition{this->tail.back().term, this->tail.back().index};
    }

    /// Returns none before the base and after the end.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /// `index` must lie in the tail.
    const Entry &at(std::uint64_t index) const;

    /// `entry` must follow the last one.
    void append(Entry entry);

    /// Drops the entries from `index` on.
    void truncateFrom(std::uint64_t index);

    /// Drops the entries up to `index`, which becomes the base.
    void compactTo(std::uint64_t index);

    /// The base index that retains the last entries up to `index`, at most `maxEntries` entries and `maxBytes` bytes.
    std::uint64_t retainedBaseIndex(std::uint64_t index, std::uint64_t maxEntries, std::size_t maxBytes) const;

    /// Replaces the log by an empty tail after a snapshot at `position`.
    void reset(LogPosition position);

    /// The entries from `from` on, at most `maxEntries` entries and `maxBytes` bytes, but at least one if there is any.
    std::vector<Entry> slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const;

private:
    LogPosition base;
    std::deque<Entry> tail;
};

} // namespace cranberryreel::replication
