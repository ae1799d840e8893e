#include "soak/LastingRuns.h"

#include <algorithm>

namespace cranberryreel::soak
{

void LastingRuns::expect(const std::string &task)
{
    const absl::MutexLock lock(&this->mutex);
    // The task may have started already.
    const auto [added, isNew] = this->tasks.try_emplace(task);
    added->second.expected = true;
    if (isNew) {
        added->second.endedAt = std::chrono::steady_clock::now();
    }
}

void LastingRuns::recordStart(const std::string &task)
{
    const absl::MutexLock lock(&this->mutex);
    ++this->tasks[task].runs;
}

void LastingRuns::recordEnd(const std::string &task)
{
    const absl::MutexLock lock(&this->mutex);
    Task &ended = this->tasks[task];
    --ended.runs;
    ended.endedAt = std::chrono::steady_clock::now();
}

bool LastingRuns::allRun() const
{
    const absl::MutexLock lock(&this->mutex);
    return std::all_of(this->tasks.begin(), this->tasks.end(), [](const auto &entry) { return !entry.second.expected || entry.second.runs > 0; });
}

std::vector<std::string> LastingRuns::overdue(SteadyTime since, std::chrono::milliseconds limit) const
{
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<std::string> names;
    const absl::MutexLock lock(&this->mutex);
    for (const auto &[name, task] : this->tasks) {
        if (task.expected && task.runs == 0 && now - std::max(task.endedAt, since) > limit) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace cranberryreel::soak
