#pragma once

#include "cli/Session.h"

namespace cranberryreel::cli
{

base::ResultCode traceWork(Session &session, const Arguments &arguments);

} // namespace cranberryreel::cli
