#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace cranberryreel::cell::teams
{

/// Gives each team the label of its metrics. Instruments live as long as the process, so the number of names is bounded: later teams share the label "other",
/// and calls without a team have "none". Not thread-safe; owned by the TeamMetrics.
class TeamLabels
{
public:
    static constexpr std::size_t MaxNames = 64;

    /// The label in the Prometheus text format, such as `team="kaje80"`.
    std::string labelFor(const std::string &team);

private:
    std::set<std::string> names;
};

} // namespace cranberryreel::cell::teams
