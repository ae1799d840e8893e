#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/JobState.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::upstream
{

/// The names of kinds and states in JSON: "request", "service", "batch", "gang"; "accepted", "running", "done", "failed", "not_run", "unknown".
std::string_view kindName(model::JobKind kind);
std::string_view stateName(model::JobState state);

/// The kind or state with this name; empty for an unknown name.
std::optional<model::JobKind> kindFromName(std::string_view name);
std::optional<model::JobState> stateFromName(std::string_view name);

} // namespace cranberryreel::upstream
