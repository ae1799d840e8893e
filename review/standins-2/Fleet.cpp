#include "Fleet.h"

#include <algorithm>
#include <numeric>

namespace cranberryreel::review
{

namespace
{

std::string jobOf(const TaskRun &run)
{
    return run.task.substr(0, run.task.find('.'));
}

} // namespace

Fleet::Fleet(const std::string &service, int count, const Cell &cell, Record &record, int cpuOfRunner, const std::vector<std::string> &zones, int holdMaxMs)
{
    for (int i = 0; i < count; ++i) {
        RunnerOptions options;
        options.id = fmt::format("i-{}-{}", service, i + 1);
        options.service = service;
        options.zone = zones[static_cast<std::size_t>(i) % zones.size()];
        options.rack = "r-" + options.zone;
        options.holdMaxMs = holdMaxMs;
        options.cpuMillis = cpuOfRunner;
        this->runners.push_back(std::make_unique<Runner>(options, cell, record));
    }
}

void Fleet::setTaskSize(const std::string &job, int cpuMillis)
{
    this->cpuOfJob[job] = cpuMillis;
}

std::vector<TaskRun> Fleet::runsOf(const std::string &job) const
{
    std::vector<TaskRun> found;
    for (const auto &runner : this->runners) {
        const std::vector<TaskRun> all = runner->runs();
        std::copy_if(all.begin(), all.end(), std::back_inserter(found), [&job](const TaskRun &run) { return jobOf(run) == job; });
    }
    std::sort(found.begin(), found.end(), [](const TaskRun &left, const TaskRun &right) { return left.begunAt < right.begunAt; });
    return found;
}

bool Fleet::isRunning(const std::string &job) const
{
    const std::vector<TaskRun> all = this->runsOf(job);
    return std::any_of(all.begin(), all.end(), [](const TaskRun &run) { return run.running(); });
}

int Fleet::usedOn(const Runner &runner) const
{
    int used = 0;
    for (const TaskRun &run : runner.runs()) {
        const auto size = this->cpuOfJob.find(jobOf(run));
        used += run.running() && size != this->cpuOfJob.end() ? size->second : 0;
    }
    return used;
}

int Fleet::totalCpuMillis() const
{
    return std::accumulate(
        this->runners.begin(), this->runners.end(), 0, [](int sum, const std::unique_ptr<Runner> &runner) { return sum + runner->options().cpuMillis; });
}

int Fleet::usedCpuMillis() const
{
    return std::accumulate(
        this->runners.begin(), this->runners.end(), 0, [this](int sum, const std::unique_ptr<Runner> &runner) { return sum + this->usedOn(*runner); });
}

int Fleet::countFitting(int cpuMillis) const
{
    return std::accumulate(this->runners.begin(), this->runners.end(), 0, [this, cpuMillis](int sum, const std::unique_ptr<Runner> &runner) {
        return sum + (runner->options().cpuMillis - this->usedOn(*runner)) / cpuMillis;
    });
}

bool Fleet::fail(const std::string &task)
{
    return std::any_of(this->runners.begin(), this->runners.end(), [&task](const std::unique_ptr<Runner> &runner) { return runner->fail(task); });
}

} // namespace cranberryreel::review
