#include "cell/GangRunLog.h"

#include "observe/Log.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

bool isRunning(const wire::StepStateT &step, std::uint32_t attempt)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [attempt](const std::unique_ptr<wire::TaskT> &task) {
        return std::any_of(task->runs.begin(), task->runs.end(), [attempt](const std::unique_ptr<wire::RunT> &run) { return run->attempt == attempt; });
    });
}

} // namespace

void GangRunLog::record(const wire::CommandT &command, const CellState &state)
{
    for (const auto &end : command.ends) {
        if (state.task(*end->task) != nullptr && state.job(end->task->job)->spec->steps[end->task->step]->gang) {
            ++this->ends[{fromRef(*end->task).step, end->attempt}][static_cast<std::size_t>(end->kind)];
        }
    }
    for (auto at = this->ends.begin(); at != this->ends.end();) {
        const auto &[step, attempt] = at->first;
        const wire::JobT *job = state.job(step.job);
        if (job != nullptr && isRunning(*job->occurrences[step.occurrence]->steps[step.step], attempt)) {
            ++at;
            continue;
        }
        if (job != nullptr) {
            logRun(at->first, at->second, state);
        }
        at = this->ends.erase(at);
    }
}

void GangRunLog::logRun(const GangRun &run, const EndCounts &counts, const CellState &state)
{
    const auto &[step, attempt] = run;
    const wire::JobT &job = *state.job(step.job);
    const auto countOf = [&counts](wire::EndKind kind) { return counts[static_cast<std::size_t>(kind)]; };
    Logger.info("event=gang_run_ended job={} occurrence={} step={} attempt={} members={} done={} failed={} stopped={} lapsed={} broken={} alone={} "
                "never_started={} upstream_gone={} failures={} failure_limit={}",
                job.spec->id,
                step.occurrence,
                step.step,
                attempt,
                job.spec->steps[step.step]->tasks,
                countOf(wire::EndKind::Done),
                countOf(wire::EndKind::Failed),
                countOf(wire::EndKind::Stopped),
                countOf(wire::EndKind::Lapsed),
                countOf(wire::EndKind::Broken),
                countOf(wire::EndKind::Alone),
                countOf(wire::EndKind::NeverStarted),
                countOf(wire::EndKind::UpstreamGone),
                countedFailures(job, toRef({step, 0})),
                state.failureLimitOf(*job.spec));
}

} // namespace cranberryreel::cell
