#pragma once

#include "cell/CellState.h"

#include "cranberryreel/base/ResultCode.h"

#include <string>

namespace cranberryreel::cell::teams
{

/// The decision on one call to a queue: whether its key permits it, and for which team it acts. Made by the leader from the rules in its log, so that a key is
/// revoked at every VM when the configuration is committed. Answers calls at the rate of submissions and state queries, so it costs one lookup for any number
/// of teams. Refers to the CellState that it was made from; owned by the caller.
struct Authorization {
    base::ResultCode code = base::ResultCode::Ok; ///< Ok, Unauthorized or Forbidden.
    const wire::TeamT *team = nullptr; ///< Of the key; null for open queues, and where no keys are required.
    std::string reason; ///< For the caller, if the call is not permitted.
};

/// Decides on a call to `queue` with this key. `job` is the job that the call names, or null.
Authorization authorize(const CellState &state, const wire::QueueT &queue, const std::string &key, const wire::JobT *job);

/// Whether calls of this team (empty: none) may see and change the job. Teams are compared by name. A job without a team, or of a team that the rules no longer
/// have, is accessible to every team.
bool mayAccess(const CellState &state, const std::string &team, const wire::JobSpecT &job);

} // namespace cranberryreel::cell::teams
