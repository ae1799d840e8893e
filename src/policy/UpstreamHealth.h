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

/// Tells upstreams that fail everything from work that fails everywhere. An upstream that fails several starts in a row while the rest of the zone succeeds is
/// ejected for a while, then probed with one task at a time, then opened slowly. At most a third of the zone is ejected at once, and nothing is while most of
/// the zone fails. Owned by the planner's state, which applies the slot limits to the ledger.
class UpstreamHealth
{
public:
    static constexpr std::uint32_t Unlimited = UINT32_MAX;

    struct Limit {
        UpstreamIndex upstream = NoIndex;
        std::uint32_t slots = Unlimited;
    };

    /// A new upstream, or one that came back with a new boot.
    void present(UpstreamIndex upstream, bool present);

    void succeeded(UpstreamIndex upstream, base::SteadyTime now);

    /// The upstream is blamed for a failed task, or refused a start.
    void failed(UpstreamIndex upstream, bool refusedStart, base::SteadyTime now);

    /// What it was blamed for turned out to be the work's own fault.
    void forgive(UpstreamIndex upstream);

    /// Opens what is due; call before deciding.
    void tick(base::SteadyTime now);

    /// Limits that changed since the last call.
    std::vector<Limit> takeLimits();

    /// Upstreams that want one repeatable task to show whether they work again.
    const std::vector<UpstreamIndex> &probing() const
    {
        return this->probes;
    }

    void probeStarted(UpstreamIndex upstream);

    /// A task on it ended in a way that says nothing of the upstream.
    void inconclusive(UpstreamIndex upstream);
    bool isEjected(UpstreamIndex upstream) const;

    std::size_t ejectedCount() const
    {
        return this->ejected;
    }

private:
    enum class Phase : std::uint8_t {
        Healthy,
        CoolingDown, ///< Refused a start; closed for a moment.
        Ejected,
        Probing,
        Opening, ///< Slow start.
    };

    struct Entry {
        Phase phase = Phase::Healthy;
        bool present = false;
        std::uint32_t failuresInRow = 0;
        std::uint32_t ejections = 0; ///< In a row; each doubles the time out.
        std::uint32_t openSlots = Unlimited;
        base::SteadyTime until;
    };

    Entry &entry(UpstreamIndex upstream);
    void setLimit(UpstreamIndex upstream, std::uint32_t slots);
    void eject(UpstreamIndex upstream, base::SteadyTime now);
    void waitUntil(UpstreamIndex upstream, Phase phase, base::SteadyTime until);
    void leave(UpstreamIndex upstream);
    void open(UpstreamIndex upstream, std::uint32_t slots, base::SteadyTime now);
    bool mayEject() const;
    void reopenNarrowed();

    std::vector<Entry> entries;
    std::vector<Limit> changed;
    std::vector<UpstreamIndex> probes;
    absl::btree_set<std::pair<base::SteadyTime, UpstreamIndex>> timers;
    std::size_t presentCount = 0;
    std::size_t ejected = 0; ///< Ejected or probing.
    double failureRate = 0; ///< Fading share of failed ends in the whole zone, ejected upstreams aside.
};

} // namespace cranberryreel::policy
