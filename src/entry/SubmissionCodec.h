#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <string_view>

namespace cranberryreel::entry
{

/// Decode the bodies of POST /v1/requests and POST /v1/jobs. The id and the partner stay empty. Both throw base::Error with the name of the invalid field.
model::JobSpec requestFromJson(std::string_view body);
model::JobSpec jobFromJson(std::string_view body);

} // namespace cranberryreel::entry
