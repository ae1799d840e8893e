#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "zone/TaskChange.h"
#include "zone/UpstreamRecord.h"

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

// Commands for ZoneStore, encoded as they are proposed to the zone group. Times are Unix times of the proposer.

std::string submitCommand(const model::JobSpec &spec, std::chrono::milliseconds now);
std::string changeCommand(const std::vector<TaskChange> &changes, std::chrono::milliseconds now);
std::string cancelCommand(const model::JobId &job, std::chrono::milliseconds now);
std::string refuseCommand(const model::JobId &job, base::ResultCode code, const std::string &reason, std::chrono::milliseconds now);
std::string seeUpstreamCommand(const UpstreamRecord &upstream);
std::string forgetUpstreamCommand(const std::string &id);
std::string drainCommand(const std::string &vm, bool draining);

/// Forgets final jobs that ended before `jobsBefore`, and those with an idempotency key that ended before `keysBefore`.
std::string expireCommand(std::chrono::milliseconds jobsBefore, std::chrono::milliseconds keysBefore);

} // namespace cranberryreel::zone
