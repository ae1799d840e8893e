#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Planner.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cranberryreel::policy
{

/// Limits and cost estimates of a SpillChooser.
struct SpillOptions {
    std::chrono::milliseconds transferCost{10}; ///< What sending a task to another zone adds to the task's wait.
    std::chrono::milliseconds maxViewAge{5000}; ///< Loads older than this are ignored.
    std::chrono::milliseconds waitPerTask{5}; ///< Wait that each task sent since the last load report adds in that zone, if the report has no better figure.
    std::uint64_t seed = 1;
};

/// Decides whether a waiting task should go to another zone, and to which: only where that zone's reported wait plus the transfer cost is shorter than the
/// local wait. Draws two zones at random and takes the better. As load reports lag, tasks sent since a zone's last report count in this comparison once they
/// exceed the free slots that it reported. Owned by ZoneChooser, which serializes calls; not thread-safe.
class SpillChooser
{
public:
    explicit SpillChooser(const SpillOptions &settings = {})
        : options(settings)
        , random(settings.seed)
    {
    }

    /// Records another zone's load and resets the count of tasks sent to it.
    void setView(const std::string &zone, const LoadView &load, base::SteadyTime now);
    void removeZone(const std::string &zone);

    /// Returns the zone that the task should be offered to; nothing if it should wait locally.
    std::optional<std::string> choose(const LoadView &local, base::SteadyTime now);

private:
    struct RemoteZone {
        std::string zone;
        LoadView load;
        base::SteadyTime updatedAt;
        std::uint32_t tasksSent = 0;
    };

    std::chrono::milliseconds expectedWait(const RemoteZone &remote) const;

    SpillOptions options;
    std::vector<RemoteZone> remotes;
    std::vector<std::size_t> freshZones; ///< Buffer reused by choose().
    std::mt19937_64 random;
};

} // namespace cranberryreel::policy
