#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The ids of upstreams whose records were removed, the latest ones. A request that was on its way to the removed upstream may still reach the next one of its
/// id, so the next record has to tell of it. Part of the replicated state: the same removals leave the same ids on every member.
class RemovedUpstreams
{
public:
    /// Remembers the id as the latest one; forgets the oldest one beyond `Limit`.
    void add(const std::string &id);

    /// Forgets the id. Returns whether it was known.
    bool take(const std::string &id);

    /// The ids in the order of their removal.
    std::vector<std::string> ids() const;

    /// Weeks of removals at the size that we build for; requests travel for seconds.
    static constexpr std::size_t Limit = 4096;

private:
    std::uint64_t nextPosition = 0;
    std::map<std::string, std::uint64_t> positions;
    std::map<std::uint64_t, std::string> idsByPosition;
};

} // namespace cranberryreel::cell
