#pragma once

#include "Runner.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::review
{

/// The runners of one service, in these zones by turns, and what of their room is in use. A task is counted with the size that its job was registered with. One
/// thread.
class Fleet
{
public:
    Fleet(const std::string &service,
          int count,
          const Cell &cell,
          Record &record,
          int cpuOfRunner = 64000,
          const std::vector<std::string> &zones = {"zone-1", "zone-2", "zone-3", "zone-4"},
          int holdMaxMs = 6000);

    /// Registers the size of all tasks of the job.
    void setTaskSize(const std::string &job, int cpuMillis);

    /// All runs of the job's tasks, in the order of their starts.
    std::vector<TaskRun> runsOf(const std::string &job) const;
    bool isRunning(const std::string &job) const;

    int totalCpuMillis() const;
    int usedCpuMillis() const;

    /// How many tasks of this size the runners have room for.
    int countFitting(int cpuMillis) const;

    /// Lets a running task fail through its own fault. Returns whether it ran.
    bool fail(const std::string &task);

private:
    int usedOn(const Runner &runner) const;

    std::vector<std::unique_ptr<Runner>> runners;
    std::map<std::string, int> cpuOfJob;
};

} // namespace cranberryreel::review
