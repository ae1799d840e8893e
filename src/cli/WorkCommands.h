#pragma once

#include "cli/Session.h"

#include <string>

namespace cranberryreel::cli
{

base::ResultCode submitRequest(Session &session, const Arguments &arguments);
base::ResultCode submitBatch(Session &session, const Arguments &arguments);
base::ResultCode submitGang(Session &session, const Arguments &arguments);
base::ResultCode submitService(Session &session, const Arguments &arguments);
base::ResultCode showStatus(Session &session, const Arguments &arguments);
base::ResultCode waitForWork(Session &session, const Arguments &arguments);
base::ResultCode printAnswer(Session &session, const Arguments &arguments);
base::ResultCode cancelWork(Session &session, const Arguments &arguments);

/// Percent-encodes an operand for use in a URL path. Throws base::Error(UsageError) when the operand is empty.
std::string encodePathSegment(const std::string &operand);

} // namespace cranberryreel::cli
