#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Planner.h"
#include "upstream/UpstreamAdapter.h"
#include "zone/ActiveJob.h"
#include "zone/TaskEnder.h"
#include "zone/TermParts.h"

#include <cstdint>

namespace cranberryreel::zone
{

/// Carries tasks from their placement to the upstream's word that they run: records the place, sends the start, and asks anew on a fresh connection where the
/// answer was lost. Owned by LeaderTerm; one thread.
class TaskStarter
{
public:
    TaskStarter(TermParts &termParts, TaskEnder &taskEnder);

    /// The planner placed the task.
    void place(const policy::Decision &decision, base::SteadyTime now);

    /// The group keeps the job now: what was placed meanwhile may go out.
    void releaseHeld(ActiveJob &job, base::SteadyTime now);

private:
    void assigned(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, base::ResultCode code);
    void send(ActiveJob &job, std::uint32_t index);
    upstream::StartRequest orderOf(const ActiveJob &job, std::uint32_t index, base::SteadyTime now) const;
    void startAnswered(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, const upstream::TaskAnswer &answer);
    void doubt(ActiveJob &job, std::uint32_t index);
    void ask(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, bool barred);
    void asked(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, bool barred, const upstream::TaskAnswer &answer);
    void bar(const model::JobId &id, std::uint32_t index, std::uint32_t attempt);

    TermParts &parts;
    TaskEnder &ender;
};

} // namespace cranberryreel::zone
