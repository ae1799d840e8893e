#pragma once

#include "cli/Session.h"

namespace cranberryreel::cli
{

base::ResultCode loadRegister(Session &session, const Arguments &arguments);
base::ResultCode loadRules(Session &session, const Arguments &arguments);
base::ResultCode showConfigStatus(Session &session, const Arguments &arguments);
base::ResultCode showConfig(Session &session, const Arguments &arguments);

} // namespace cranberryreel::cli
