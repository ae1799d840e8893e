#pragma once

#include "cli/Session.h"

namespace cranberryreel::cli
{

base::ResultCode showUpstreams(Session &session, const Arguments &arguments);
base::ResultCode showJobs(Session &session, const Arguments &arguments);
base::ResultCode showShares(Session &session, const Arguments &arguments);
base::ResultCode showZones(Session &session, const Arguments &arguments);
base::ResultCode explainWork(Session &session, const Arguments &arguments);
base::ResultCode changeZoneMembers(Session &session, const Arguments &arguments);
base::ResultCode drainVm(Session &session, const Arguments &arguments);

} // namespace cranberryreel::cli
