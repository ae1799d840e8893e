#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <string_view>

namespace cranberryreel::entry
{

/// Reads the bodies of POST /v1/requests and POST /v1/jobs; id and partner stay empty. Both throw base::Error naming the field.
model::JobSpec requestFromJson(std::string_view body);
model::JobSpec jobFromJson(std::string_view body);

} // namespace cranberryreel::entry
