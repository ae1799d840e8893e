#include "TaskLog.h"

namespace cranberryreel::review
{

namespace
{

std::string runName(std::uint32_t attempt, const std::string &runner)
{
    return runner + " attempt " + std::to_string(attempt);
}

} // namespace

TaskLog::TaskLog(Record &caseRecord)
    : record(caseRecord)
{
}

void TaskLog::started(const std::string &task, std::uint32_t attempt, const std::string &runner)
{
    const std::string run = runName(attempt, runner);
    this->record.write("runner " + runner + ": starts " + task + " attempt " + std::to_string(attempt));
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->startCount[task];
    for (const std::string &other : this->running[task]) {
        std::string violation = "task " + task;
        violation.append(" runs twice at the same time: ").append(other).append(" and ").append(run);
        this->report(violation);
    }
    if (this->done.count(task) > 0) {
        this->report("task " + task + " started again after its end done was taken note of: " + run);
    } else if (this->endedDone.count(task) > 0) {
        this->startsAfterDone[task].push_back(run);
    }
    this->running[task].insert(run);
}

void TaskLog::ended(const std::string &task, std::uint32_t attempt, const std::string &runner, const std::string &how)
{
    this->record.write("runner " + runner + ": " + task + " attempt " + std::to_string(attempt) + " ends " + how);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->running[task].erase(runName(attempt, runner));
    if (how == "done") {
        this->endedDone.insert(task);
    }
}

void TaskLog::acknowledgedDone(const std::string &task)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->done.insert(task).second) {
        return;
    }
    for (const std::string &run : this->startsAfterDone[task]) {
        std::string violation = "task " + task;
        violation.append(" started again after its end done, which was taken note of since: ").append(run);
        this->report(violation);
    }
}

std::vector<std::string> TaskLog::violations() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->broken;
}

int TaskLog::starts(const std::string &task) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->startCount.find(task);
    return found == this->startCount.end() ? 0 : found->second;
}

void TaskLog::report(const std::string &violation)
{
    this->record.write("RULE BROKEN, TWICE: " + violation);
    this->broken.push_back(violation);
}

} // namespace cranberryreel::review
