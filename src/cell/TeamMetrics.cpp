#include "cell/TeamMetrics.h"

#include "cell/teams/TeamLabels.h"
#include "observe/Metrics.h"

#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

namespace cranberryreel::cell
{

std::string TeamMetrics::labelFor(const std::string &team)
{
    static absl::Mutex mutex;
    static teams::TeamLabels labels;
    const absl::MutexLock lock(&mutex);
    return labels.labelFor(team);
}

void TeamMetrics::recordSubmitted(const std::string &team, bool beyondRate)
{
    const std::string labels = fmt::format("{},beyond_rate=\"{}\"", labelFor(team), beyondRate);
    observe::counter("cranberryreel_cell_team_submitted_total", "Accepted submissions by team and by whether they were beyond its rate.", labels).add();
}

void TeamMetrics::recordRejected(const std::string &team, std::string_view reason)
{
    const std::string labels = fmt::format("{},reason=\"{}\"", labelFor(team), reason);
    observe::counter("cranberryreel_cell_team_rejected_total", "Rejected calls by team and reason.", labels).add();
}

} // namespace cranberryreel::cell
