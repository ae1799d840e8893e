#include "soak/GangWork.h"

#include "soak/SoakPlan.h"
#include "soak/StepName.h"

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ShortestWork{50};
constexpr std::uint64_t WorkRangeMs = 750;

} // namespace

GangWork::GangWork(std::uint64_t seed)
    : random(seed)
{
}

void GangWork::add(const std::string &step, std::size_t members, std::size_t failingRuns)
{
    const absl::MutexLock lock(&this->mutex);
    Step &added = this->steps[step];
    added.members = members;
    added.failingRuns = failingRuns;
}

void GangWork::recordStart(const std::string &task, std::uint32_t attempt)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->steps.find(stepOf(task));
    if (found == this->steps.end()) {
        return;
    }
    Run &run = found->second.runs[attempt];
    const SteadyTime now = std::chrono::steady_clock::now();
    run.members.try_emplace(task, now);
    if (run.members.size() == found->second.members && !run.workEnd) {
        run.workEnd = now + ShortestWork + std::chrono::milliseconds(this->random() % WorkRangeMs);
    }
}

void GangWork::recordEnd(const std::string &task, std::uint32_t attempt, const std::string &how)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->steps.find(stepOf(task));
    if (found == this->steps.end()) {
        return;
    }
    Step &step = found->second;
    Run &run = step.runs[attempt];
    const auto decided = run.ends.find(task);
    run.broken = run.broken || decided == run.ends.end() || decided->second != how;
    step.done = step.done || how == "done";
    if (how == "failed") {
        step.failed.insert(attempt);
    }
}

std::string GangWork::endOf(const std::string &task, std::uint32_t attempt)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->steps.find(stepOf(task));
    if (found == this->steps.end()) {
        return {};
    }
    Run &run = found->second.runs[attempt];
    const SteadyTime now = std::chrono::steady_clock::now();
    if (run.ends.empty() && !run.broken && run.workEnd && now >= *run.workEnd) {
        this->decide(found->second, run);
    }
    if (const auto decided = run.ends.find(task); decided != run.ends.end()) {
        return decided->second;
    }
    if (run.broken) {
        return "broken";
    }
    return !run.workEnd && now - run.members[task] >= GangWait ? "alone" : "";
}

std::size_t GangWork::failedRuns(const std::string &step) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->steps.find(step);
    return found == this->steps.end() ? 0 : found->second.failed.size();
}

bool GangWork::isDone(const std::string &step) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->steps.find(step);
    return found != this->steps.end() && found->second.done;
}

void GangWork::decide(Step &step, Run &run)
{
    const bool fails = step.failed.size() < step.failingRuns;
    std::size_t failing = fails ? 1 + this->random() % step.members : 0;
    for (const auto &[task, startedAt] : run.members) {
        run.ends[task] = !fails ? "done" : failing > 0 ? "failed" : "broken";
        failing -= failing > 0 ? 1 : 0;
    }
}

} // namespace cranberryreel::soak
