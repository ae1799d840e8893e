#pragma once

#include "cranberryreel/base/Clock.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace cranberryreel::cell::teams
{

/// Tells the submissions that are within their team's rate: in any window, at most the team's weight for each second, rounded up to a whole job. Answers the
/// load of a team that sends 4 to 7 times its usual rate for some seconds. Only jobs within the rate use it up, so such a team keeps its rate and the excess is
/// marked. Starts empty on a new leader, which exempts at most one window's jobs. Memory is bounded by the submissions of one window. Pure: the time is passed
/// in. Not thread-safe; owned by the PeerCallHandler.
class RateWindow
{
public:
    /// Over a window of some seconds, chance alone rarely takes a team of one job a second beyond its rate; over one second it often does.
    explicit RateWindow(std::chrono::seconds windowLength);

    /// Counts the submission of this job and returns whether it is within the rate. A repetition within the window is not counted and gets the same result. A
    /// weight of 0 states no rate, so that every job is within it.
    bool isWithinRate(const std::string &team, double weight, const std::string &job, base::SteadyTime now);

private:
    using TeamAndJob = std::pair<std::string, std::string>;

    struct Submission {
        base::SteadyTime at;
        TeamAndJob key;
    };

    void expire(base::SteadyTime now);

    const std::chrono::seconds length;
    std::deque<Submission> submissions; ///< Of the last window, oldest first.
    absl::flat_hash_map<TeamAndJob, bool> results; ///< Of `submissions`: whether each is within the rate.
    absl::flat_hash_map<std::string, std::size_t> used; ///< By team: number of `submissions` within the rate.
};

} // namespace cranberryreel::cell::teams
