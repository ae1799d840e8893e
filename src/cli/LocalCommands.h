#pragma once

#include "cli/Session.h"

namespace cranberryreel::cli
{

/// Commands that run without an entry VM.
base::ResultCode hashKey(Session &session, const Arguments &arguments);
base::ResultCode showSettingsTable(Session &session, const Arguments &arguments);
base::ResultCode completeBash(Session &session, const Arguments &arguments);

} // namespace cranberryreel::cli
