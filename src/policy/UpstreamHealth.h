#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"

#include <absl/container/btree_set.h>

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace cranberryreel::policy
{

/// Distinguishes upstreams that fail every task from work that fails on every upstream. An upstream that fails several tasks in a row while the rest of the
/// zone succeeds is excluded for a time, then probed with one task at a time, then reopened by slow start. At most a third of the zone's upstreams are
/// excluded at once, and none while most tasks in the zone fail. Owned by ZoneState, which applies the slot limits to the ledger; used by the planner's thread
/// only.
class UpstreamHealth
{
public:
    static constexpr std::uint32_t Unlimited = UINT32_MAX;

    struct Limit {
        UpstreamIndex upstream = NoIndex;
        std::uint32_t slots = Unlimited;
    };

    /// Call when an upstream is added, comes back with a new incarnation, or is removed.
    void setPresent(UpstreamIndex upstream, bool isPresent);

    void recordSuccess(UpstreamIndex upstream, base::SteadyTime now);

    /// Call when a failed task is blamed on the upstream, or the upstream refused a start.
    void recordFailure(UpstreamIndex upstream, bool refusedStart, base::SteadyTime now);

    /// Call when the failures blamed on the upstream turn out to be the fault of the work.
    void clearFailures(UpstreamIndex upstream);

    /// Handles expired timers; call before deciding.
    void processTimers(base::SteadyTime now);

    /// Returns the limits that changed since the last call.
    std::vector<Limit> takeChangedLimits();

    /// Returns the upstreams that need one repeatable task as a probe.
    const std::vector<UpstreamIndex> &awaitingProbe() const
    {
        return this->probes;
    }

    void probeStarted(UpstreamIndex upstream);

    /// Call when a task ended in a way that tells nothing about the upstream.
    void recordInconclusive(UpstreamIndex upstream);
    bool isExcluded(UpstreamIndex upstream) const;

    std::size_t excludedCount() const
    {
        return this->excluded;
    }

private:
    enum class Phase : std::uint8_t {
        Healthy,
        CoolingDown, ///< Refused a start; closed for a moment.
        Excluded,
        Probing,
        Opening, ///< Slow start.
    };

    struct Entry {
        Phase phase = Phase::Healthy;
        bool present = false;
        std::uint32_t failuresInRow = 0;
        std::uint32_t exclusions = 0; ///< Exclusions in a row; each doubles the time of the next.
        std::uint32_t openSlots = Unlimited;
        base::SteadyTime until;
    };

    Entry &entry(UpstreamIndex upstream);
    void setLimit(UpstreamIndex upstream, std::uint32_t slots);
    void exclude(UpstreamIndex upstream, base::SteadyTime now);
    void closeUntil(UpstreamIndex upstream, Phase phase, base::SteadyTime until);
    void leavePhase(UpstreamIndex upstream);
    /// Opens the upstream with this number of slots, or without a limit from FullyOpenSlots on.
    void open(UpstreamIndex upstream, std::uint32_t slots, base::SteadyTime now);
    bool mayExclude() const;
    void removeSlowStartLimits();

    std::vector<Entry> entries;
    std::vector<Limit> changed;
    std::vector<UpstreamIndex> probes;
    absl::btree_set<std::pair<base::SteadyTime, UpstreamIndex>> timers;
    std::size_t presentCount = 0;
    std::size_t excluded = 0; ///< Number of upstreams excluded or probing.
    double failureRate = 0; ///< Exponentially weighted fraction of failed ends in the zone; excluded upstreams do not count.
};

} // namespace cranberryreel::policy
