#pragma once

#include "cell/TrackedRun.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The tracked runs, indexed by run and by upstream. Used by the scheduler's thread only. Owned by the TermContext.
class RunTable
{
public:
    TrackedRun &add(TrackedRun run);
    void erase(const RunKey &key);

    /// Null if the run is not tracked.
    TrackedRun *find(const RunKey &key);

    std::vector<RunKey> runsOnUpstream(std::uint64_t upstream) const;
    std::size_t countOnUpstream(std::uint64_t upstream) const;

    std::vector<RunKey> runsOfJob(std::uint64_t job) const;

    std::map<RunKey, TrackedRun> &all()
    {
        return this->runs;
    }

private:
    std::map<RunKey, TrackedRun> runs;
    std::map<std::uint64_t, std::set<RunKey>> byUpstream;
};

} // namespace cranberryreel::cell
