#pragma once

#include "Record.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::review
{

/// Sees the starts and ends of all runners, as the platform sees them, and checks the rule TWICE. Any thread. Owned by the case.
class TaskLog
{
public:
    explicit TaskLog(Record &caseRecord);

    /// A runner began a run. `runner` is unique to one life of a runner.
    void started(const std::string &task, std::uint32_t attempt, const std::string &runner);

    /// A run ended, or its runner did.
    void ended(const std::string &task, std::uint32_t attempt, const std::string &runner, const std::string &how);

    /// A caller's acknowledgement reached the end `done` of a run.
    void acknowledgedDone(const std::string &task);

    /// Descriptions of what broke the rule.
    std::vector<std::string> violations() const;

    /// Number of starts of the task.
    int starts(const std::string &task) const;

private:
    void report(const std::string &violation);

    Record &record;
    mutable std::mutex mutex;
    std::map<std::string, std::set<std::string>> running; ///< By task: the runs as "runner attempt".
    std::set<std::string> done; ///< Tasks with an end `done` that a caller acknowledged.
    std::map<std::string, std::vector<std::string>> startsAfterDone; ///< By task: starts after a run ended `done` that is not acknowledged yet.
    std::set<std::string> endedDone;
    std::map<std::string, int> startCount;
    std::vector<std::string> broken;
};

} // namespace cranberryreel::review
