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

struct SpillOptions {
    std::chrono::milliseconds transferCost{10}; ///< What a hand-over to another zone adds to a task's wait.
    std::chrono::milliseconds oldestView{5000}; ///< Views of a zone's load older than this are not used.
    std::chrono::milliseconds waitPerTask{5}; ///< What a task sent since a zone's last view is taken to add to the wait there, where the view tells no better.
    std::uint64_t seed = 1;
};

/// Decides whether a waiting task should go to another zone, and to which: only where the wait told by the other zone, with the transfer, is shorter than the
/// wait here. Two zones are drawn at random and the better taken; tasks sent since a zone's last view weigh in that comparison once they exceed the room that
/// it had, as views lag. Owned by the zone scheduler; one thread.
class SpillChooser
{
public:
    explicit SpillChooser(const SpillOptions &settings = {})
        : options(settings)
        , random(settings.seed)
    {
    }

    /// News of another zone's load; forgets what was sent before it.
    void setView(const std::string &zone, const LoadView &load, base::SteadyTime now);
    void removeZone(const std::string &zone);

    /// The zone that the task should be offered to; nothing when it should wait here.
    std::optional<std::string> choose(const LoadView &local, base::SteadyTime now);

private:
    struct Remote {
        std::string zone;
        LoadView load;
        base::SteadyTime seenAt;
        std::uint32_t sentSince = 0;
    };

    std::chrono::milliseconds expectedWait(const Remote &remote) const;

    SpillOptions options;
    std::vector<Remote> remotes;
    std::vector<std::size_t> fresh; ///< Scratch of choose().
    std::mt19937_64 random;
};

} // namespace cranberryreel::policy
