#include "cell/TeamMetrics.h"

#include "observe/Metrics.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/ascii.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cranberryreel::cell
{

namespace
{

/// Metrics live as long as the process, while an operator may rename teams any number of times.
constexpr std::size_t MaxTeamNames = 64;

/// The names in use. Any thread.
struct NamedTeams {
    absl::Mutex mutex;
    std::set<std::string> names ABSL_GUARDED_BY(mutex);
};

} // namespace

std::string teamLabel(const std::string &team)
{
    static NamedTeams named;
    if (team.empty()) {
        return "none";
    }
    std::string label = team;
    std::replace_if(
        label.begin(), label.end(), [](unsigned char c) { return !absl::ascii_isalnum(c) && c != '-' && c != '_' && c != '.'; }, '_');
    const absl::MutexLock lock(&named.mutex);
    if (named.names.count(label) == 0 && named.names.size() >= MaxTeamNames) {
        return "other";
    }
    named.names.insert(label);
    return label;
}

void countRejection(const std::string &team, const std::string &reason)
{
    observe::counter("cranberryreel_cell_rejected_total", "Jobs rejected at submission.", fmt::format("team=\"{}\",reason=\"{}\"", teamLabel(team), reason))
        .add();
}

} // namespace cranberryreel::cell
