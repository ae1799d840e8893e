#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/JobState.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::upstream
{

/// The names that kinds and states have in JSON: "request", "service", ...; "accepted", "running", "done", "failed", "not_run", "unknown".
std::string_view kindName(model::JobKind kind);
std::string_view stateName(model::JobState state);

/// Empty for any other text.
std::optional<model::JobKind> kindNamed(std::string_view name);
std::optional<model::JobState> stateNamed(std::string_view name);

} // namespace cranberryreel::upstream
