#pragma once

#include "cell/CellState.h"
#include "cell/RunTable.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace cranberryreel::cell
{

/// An upstream that runs its work far too slowly, and the runs that had better start again elsewhere.
struct SlowUpstream {
    std::uint64_t upstream = 0;
    std::vector<RunKey> toMove;
};

/// Finds upstreams that turned slow, or on which work stands still. Load pattern: a few of the upstreams run everything six times slower for some seconds,
/// or hang, while they look healthy. A task is measured by its siblings, since a submitter's estimates are rough; a single long task says nothing of its
/// upstream. Pure. Owned by the term.
class SlowFinder
{
public:
    /// A task of this step was done in this time.
    void done(const StepKey &step, std::chrono::milliseconds time);

    std::vector<SlowUpstream> find(const CellState &state, RunTable &runs, base::SteadyTime now) const;

    /// Drops what is known of jobs that are over.
    void keepOnly(const CellState &state);

private:
    struct Times {
        std::chrono::milliseconds total{0};
        int count = 0;
    };

    std::chrono::milliseconds usual(const StepKey &key, const wire::StepT &step) const;

    std::map<StepKey, Times> times;
};

} // namespace cranberryreel::cell
