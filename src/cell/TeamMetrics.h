#pragma once

#include <string>

namespace cranberryreel::cell
{

/// Counts a job that was rejected at submission, by team and reason. At most 64 teams are named in metrics, the rest count as `other`. Any thread.
void countRejection(const std::string &team, const std::string &reason);

/// The label of a team in metrics: its name, `none` without a team, or `other` once 64 other names are in use. Characters that could break the metrics text
/// are replaced.
std::string teamLabel(const std::string &team);

} // namespace cranberryreel::cell
