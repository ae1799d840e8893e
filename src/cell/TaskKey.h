#pragma once

#include "cell/generated/cell_generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace cranberryreel::cell
{

/// A step of one occurrence of a job.
struct StepKey {
    std::uint64_t job = 0; ///< The job's number.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator<(const StepKey &other) const
    {
        return std::tie(this->job, this->occurrence, this->step) < std::tie(other.job, other.occurrence, other.step);
    }

    bool operator==(const StepKey &other) const
    {
        return std::tie(this->job, this->occurrence, this->step) == std::tie(other.job, other.occurrence, other.step);
    }
};

/// A task of a job.
struct TaskKey {
    StepKey step;
    std::uint32_t task = 0;

    bool operator<(const TaskKey &other) const
    {
        return std::tie(this->step, this->task) < std::tie(other.step, other.task);
    }
};

/// One attempt of a task.
struct RunKey {
    TaskKey task;
    std::uint32_t attempt = 0;

    bool operator<(const RunKey &other) const
    {
        return std::tie(this->task, this->attempt) < std::tie(other.task, other.attempt);
    }
};

wire::TaskRefT toRef(const TaskKey &key);
TaskKey fromRef(const wire::TaskRefT &ref);

/// JOB.OCCURRENCE.STEP, and with .TASK behind it: the names that upstreams and the advice service know.
std::string stepName(const std::string &jobId, const StepKey &key);
std::string taskName(const std::string &jobId, const TaskKey &key);

/// A task name taken apart.
struct ParsedTaskName {
    std::string jobId;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;
};

/// Nothing when the text is no task name.
std::optional<ParsedTaskName> parseTaskName(const std::string &name);

} // namespace cranberryreel::cell
