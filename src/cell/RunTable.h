#pragma once

#include "cell/RunTrack.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The tracked runs, by run and by upstream. Used by the scheduler's thread only.
class RunTable
{
public:
    RunTrack &add(RunTrack track);
    void erase(const RunKey &key);

    /// Null when no such run is tracked.
    RunTrack *find(const RunKey &key);

    std::vector<RunKey> at(std::uint64_t upstream) const;
    std::size_t countAt(std::uint64_t upstream) const;

    /// Those of one job.
    std::vector<RunKey> of(std::uint64_t job) const;

    std::map<RunKey, RunTrack> &all()
    {
        return this->runs;
    }

private:
    std::map<RunKey, RunTrack> runs;
    std::map<std::uint64_t, std::set<RunKey>> byUpstream;
};

} // namespace cranberryreel::cell
