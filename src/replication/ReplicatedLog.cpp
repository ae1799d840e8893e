#include "replication/ReplicatedLog.h"

#include <cassert>
#include <utility>

namespace cranberryreel::replication
{

std::optional<std::uint64_t> ReplicatedLog::termAt(std::uint64_t index) const
{
    if (index == this->base.index) {
        return this->base.term;
    }
    if (index < this->base.index || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->at(index).term;
}

const Entry &ReplicatedLog::at(std::uint64_t index) const
{
    assert(index > this->base.index && index <= this->lastIndex());
    return this->tail[index - this->base.index - 1];
}

void ReplicatedLog::append(Entry entry)
{
    assert(entry.index == this->lastIndex() + 1);
    this->tail.push_back(std::move(entry));
}

void ReplicatedLog::truncateFrom(std::uint64_t index)
{
    while (this->lastIndex() >= index && !this->tail.empty()) {
        this->tail.pop_back();
    }
}

void ReplicatedLog::compactTo(std::uint64_t index)
{
    while (!this->tail.empty() && this->tail.front().index <= index) {
        this->base = LogPosition{this->tail.front().term, this->tail.front().index};
        this->tail.pop_front();
    }
}

std::uint64_t ReplicatedLog::retainedBaseIndex(std::uint64_t index, std::uint64_t maxEntries, std::size_t maxBytes) const
{
    std::uint64_t start = index;
    std::size_t bytes = 0;
    while (start > this->base.index && index - start < maxEntries) {
        bytes += this->at(start).data.size();
        if (bytes > maxBytes) {
            break;
        }
        --start;
    }
    return start;
}

void ReplicatedLog::reset(LogPosition position)
{
    this->tail.clear();
    this->base = position;
}

std::vector<Entry> ReplicatedLog::slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (std::uint64_t index = from; index <= this->lastIndex() && entries.size() < maxEntries; ++index) {
        const Entry &entry = this->at(index);
        bytes += entry.data.size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

} // namespace cranberryreel::replication
