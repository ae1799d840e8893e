#include "cell/teams/Authorization.h"

namespace cranberryreel::cell::teams
{

using base::ResultCode;

Authorization authorize(const CellState &state, const wire::QueueT &queue, const std::string &key, const wire::JobT *job)
{
    if (!state.rules()->requires_keys || queue.open) {
        return {};
    }
    const wire::TeamT *team = state.teamOfKey(key);
    if (team == nullptr) {
        return {ResultCode::Unauthorized, nullptr, key.empty() ? "The queue requires an API key." : "No team has this API key."};
    }
    if (job != nullptr && !mayAccess(state, team->name, *job->spec)) {
        return {ResultCode::Forbidden, team, "The job belongs to another team."};
    }
    return {ResultCode::Ok, team, {}};
}

bool mayAccess(const CellState &state, const std::string &team, const wire::JobSpecT &job)
{
    return job.team == team || state.teamNamed(job.team) == nullptr;
}

} // namespace cranberryreel::cell::teams
