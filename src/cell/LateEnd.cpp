#include "cell/LateEnd.h"

#include "cell/CellState.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// Whether the attempt of each failure that counts with this task's is recorded. Otherwise it is not known whether an earlier version counted the end.
bool allAttemptsKnown(const wire::StepT &step, const wire::StepStateT &state, std::uint32_t task)
{
    const auto isKnown = [](const wire::TaskT &each) { return each.failures == each.failed_attempts.size(); };
    return step.gang ? std::all_of(state.tasks.begin(), state.tasks.end(), [&isKnown](const std::unique_ptr<wire::TaskT> &member) { return isKnown(*member); })
                     : isKnown(*state.tasks[task]);
}

bool isNewLateFailure(const wire::JobT &job, const wire::EndT &end)
{
    const wire::TaskRefT &ref = *end.task;
    const wire::StepT &step = *job.spec->steps[ref.step];
    return !step.lasting && isActive(job) && allAttemptsKnown(step, *job.occurrences[ref.occurrence]->steps[ref.step], ref.task)
        && !isFailureCounted(job, ref, end.attempt);
}

} // namespace

bool isNewLateEnd(const wire::JobT &job, const wire::EndT &end)
{
    const wire::TaskT &task = *job.occurrences[end.task->occurrence]->steps[end.task->step]->tasks[end.task->task];
    if (task.done || end.attempt == 0 || end.attempt > task.last_attempt) {
        return false;
    }
    return end.kind == wire::EndKind::Done || (end.kind == wire::EndKind::Failed && isNewLateFailure(job, end));
}

} // namespace cranberryreel::cell
