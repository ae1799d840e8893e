#pragma once

#include "cranberryreel/model/JobStatus.h"

#include <string>

namespace cranberryreel::entry
{

/// Encodes a status as the JSON object that callers receive.
std::string statusToJson(const model::JobStatus &status, const std::string &traceId);

} // namespace cranberryreel::entry
