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

// Commands for ZoneStore, encoded for a proposal to the zone group. `now` and the other times are Unix times of the proposer.

std::string submitCommand(const model::JobSpec &spec, std::chrono::milliseconds now);
std::string changeCommand(const std::vector<TaskChange> &changes, std::chrono::milliseconds now);
std::string cancelCommand(const model::JobId &job, std::chrono::milliseconds now);
std::string refuseCommand(const model::JobId &job, base::ResultCode code, const std::string &reason, std::chrono::milliseconds now);
/// Adds the upstream's record or replaces the record with the same id.
std::string recordUpstreamCommand(const UpstreamRecord &upstream);
std::string removeUpstreamCommand(const std::string &id);
std::string drainCommand(const std::string &vm, bool draining);

/// Removes final jobs that ended before `jobsBefore`, and final jobs with an idempotency key that ended before `keysBefore`.
std::string expireCommand(std::chrono::milliseconds jobsBefore, std::chrono::milliseconds keysBefore);

} // namespace cranberryreel::zone
