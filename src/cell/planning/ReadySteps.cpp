#include "cell/planning/ReadySteps.h"

#include "cell/planning/DeadlineEstimator.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

namespace
{

bool predecessorsDone(const wire::StepT &step, const wire::OccurrenceT &occurrence)
{
    return std::all_of(step.after.begin(), step.after.end(), [&occurrence](std::uint32_t earlier) { return isDone(*occurrence.steps[earlier]); });
}

bool isRestartOf(const wire::StepT &step, const wire::TaskT &task)
{
    return step.lasting && task.last_attempt > 0;
}

std::vector<std::uint32_t> waitingTasks(const wire::StepT &step, const wire::StepStateT &state)
{
    std::vector<std::uint32_t> waiting;
    bool running = false;
    for (std::uint32_t i = 0; i < state.tasks.size(); ++i) {
        running = running || !state.tasks[i]->runs.empty();
        if (!state.tasks[i]->done && state.tasks[i]->runs.empty()) {
            waiting.push_back(i);
        }
    }
    std::stable_partition(waiting.begin(), waiting.end(), [&](std::uint32_t task) { return isRestartOf(step, *state.tasks[task]); });
    return step.gang && running ? std::vector<std::uint32_t>() : waiting;
}

} // namespace

bool isUrgent(const ReadyStep &ready)
{
    return ready.queue != nullptr && ready.queue->priority == 0;
}

bool isBeyondRate(const ReadyStep &ready)
{
    return ready.job->spec->beyond_rate;
}

bool countsAsUrgent(const ReadyStep &ready)
{
    return isUrgent(ready) && !isBeyondRate(ready);
}

bool isRestart(const ReadyStep &ready, std::uint32_t task)
{
    return isRestartOf(*ready.step, *ready.state->tasks[task]);
}

std::uint32_t countRestarts(const ReadyStep &ready)
{
    const auto count = std::count_if(ready.waiting.begin(), ready.waiting.end(), [&ready](std::uint32_t task) { return isRestart(ready, task); });
    return static_cast<std::uint32_t>(count);
}

std::vector<ReadyStep> readySteps(const CellState &state)
{
    std::vector<ReadyStep> ready;
    for (const std::uint64_t number : state.openJobs()) {
        const wire::JobT &job = *state.job(number);
        if (!isActive(job)) {
            continue;
        }
        for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
            const wire::OccurrenceT &occurrence = *job.occurrences[k];
            for (std::uint32_t s = 0; !occurrence.done && s < occurrence.steps.size(); ++s) {
                const wire::StepT &step = *job.spec->steps[s];
                if (!predecessorsDone(step, occurrence)) {
                    continue;
                }
                ReadyStep entry{{number, k, s}, &job, &step, occurrence.steps[s].get(), state.queueOf(*job.spec), waitingTasks(step, *occurrence.steps[s])};
                if (!entry.waiting.empty()) {
                    ready.push_back(std::move(entry));
                }
            }
        }
    }
    return ready;
}

} // namespace cranberryreel::cell::planning
