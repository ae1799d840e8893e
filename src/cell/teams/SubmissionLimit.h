#pragma once

#include "cell/generated/cell_generated.h"

#include <optional>
#include <string>

namespace cranberryreel::cell::teams
{

/// Why the job could never run as a whole within its team's quota: a single task, or a gang in total, needs more than the team's limit. Nothing if it can run;
/// a step of single tasks may be wider than the quota, since it runs in waves. Checked at submission, so that such work does not wait for ever and hold back
/// its team's other steps.
std::optional<std::string> limitExcess(const wire::TeamT &team, const wire::JobSpecT &job);

} // namespace cranberryreel::cell::teams
