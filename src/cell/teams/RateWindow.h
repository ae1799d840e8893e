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

/// Tells the submissions that are within their team's rate: at most as many in any second as the team's weight, rounded up to a whole job. Answers the load of
/// a team that sends 4 to 7 times its usual rate for some seconds. Only jobs within the rate use it up, so such a team keeps its rate and the excess is marked.
/// Starts empty on a new leader, which exempts at most one second's jobs. Memory is bounded by the submissions of one second. Pure: the time is passed in. Not
/// thread-safe; owned by the PeerCallHandler.
class RateWindow
{
public:
    static constexpr std::chrono::seconds Length{1};

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

    std::deque<Submission> submissions; ///< Of the last second, oldest first.
    absl::flat_hash_map<TeamAndJob, bool> results; ///< Of `submissions`: whether each is within the rate.
    absl::flat_hash_map<std::string, std::size_t> used; ///< By team: number of `submissions` within the rate.
};

} // namespace cranberryreel::cell::teams
