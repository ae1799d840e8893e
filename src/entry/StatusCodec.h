#pragma once

#include "cranberryreel/model/JobStatus.h"

#include <string>

namespace cranberryreel::entry
{

/// The status object that callers get.
std::string statusToJson(const model::JobStatus &status, const std::string &traceId);

} // namespace cranberryreel::entry
