#pragma once

#include <string>
#include <string_view>

namespace cranberryreel::cell
{

/// Counts the events of teams in the process's metrics, under at most TeamLabels::MaxNames names for the life of the process. Any thread. Stateless: the
/// instruments belong to the metrics registry.
class TeamMetrics
{
public:
    /// Counts a submission that was committed.
    static void recordSubmitted(const std::string &team, bool beyondRate);

    /// Counts a call that was rejected; `team` is that of the call's key, empty if it has none. `reason` is the name of a result code, or why admission control
    /// rejected a job.
    static void recordRejected(const std::string &team, std::string_view reason);

    /// The metric label of the team. Further metrics by team use it, so that all share the bound on names.
    static std::string labelFor(const std::string &team);
};

} // namespace cranberryreel::cell
