#include "cell/planning/AlikeUpstreams.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>

namespace cranberryreel::cell::planning
{

namespace
{

/// Whether the candidates with ranks from `first` to `last` hold all waiting tasks of the step.
bool holdAll(const ReadyStep &ready, const std::vector<PlacementCandidate> &candidates, int first, int last)
{
    const auto tasks = static_cast<std::uint32_t>(ready.waiting.size());
    const std::uint32_t mostHere = ready.step->per_upstream == 0 ? tasks : std::min(tasks, ready.step->per_upstream);
    std::uint32_t fitting = 0;
    std::uint32_t fittingOnKept = 0;
    std::uint32_t mostOnKept = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.speedRank < first || candidate.speedRank > last) {
            continue;
        }
        const std::uint32_t here = candidate.capacity->free.countFitting(*ready.step, mostHere);
        if (candidate.keptForUrgent != nullptr) {
            fittingOnKept += here;
            mostOnKept = candidate.keptForUrgent->countFitting(ready, tasks);
        } else {
            fitting += here;
        }
    }
    return fitting + std::min(fittingOnKept, mostOnKept) >= tasks;
}

} // namespace

std::vector<PlacementCandidate> alikeCandidates(const ReadyStep &ready, std::vector<PlacementCandidate> candidates)
{
    std::set<int> ranks;
    for (const PlacementCandidate &candidate : candidates) {
        ranks.insert(candidate.speedRank);
    }
    if (ranks.size() < 2) {
        return candidates;
    }
    const auto keep = [&candidates](int first, int last) {
        std::vector<PlacementCandidate> kept;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept), [first, last](const PlacementCandidate &candidate) {
            return candidate.speedRank >= first && candidate.speedRank <= last;
        });
        return kept;
    };
    for (const int rank : ranks) {
        if (holdAll(ready, candidates, rank, rank)) {
            return keep(rank, rank);
        }
    }
    for (const int last : ranks) {
        if (holdAll(ready, candidates, *ranks.begin(), last)) {
            return keep(*ranks.begin(), last);
        }
    }
    return candidates;
}

} // namespace cranberryreel::cell::planning
