#pragma once

#include "cli/Session.h"

#include <nlohmann/json.hpp>

namespace cranberryreel::cli
{

/// Prints one piece of work as an entry VM tells it.
void printWork(Session &session, const nlohmann::json &status);

/// The result code that a status carries.
base::ResultCode codeOfWork(const nlohmann::json &status);

bool isOver(const nlohmann::json &status);

/// The colour of a state by its name.
Tint tintOfState(const std::string &state);

} // namespace cranberryreel::cli
