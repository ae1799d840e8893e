#pragma once

#include "cli/Session.h"

#include <nlohmann/json.hpp>

namespace cranberryreel::cli
{

/// Prints the status of a request or job as an entry VM returned it.
void printWork(Session &session, const nlohmann::json &status);

/// Returns the result code in the status of a request or job.
base::ResultCode workResultCode(const nlohmann::json &status);

/// Whether the request or job has reached a final state.
bool isFinished(const nlohmann::json &status);

/// Returns the colour for a state name.
Tint stateTint(const std::string &state);

} // namespace cranberryreel::cli
