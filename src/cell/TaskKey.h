#pragma once

#include "cell/generated/cell_generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace cranberryreel::cell
{

/// Identifies a step of one occurrence of a job.
struct StepKey {
    std::uint64_t job = 0; ///< Job number.
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

/// Identifies a task of a step.
struct TaskKey {
    StepKey step;
    std::uint32_t task = 0;

    bool operator<(const TaskKey &other) const
    {
        return std::tie(this->step, this->task) < std::tie(other.step, other.task);
    }
};

/// Identifies one attempt of a task.
struct RunKey {
    TaskKey task;
    std::uint32_t attempt = 0;

    bool operator<(const RunKey &other) const
    {
        return std::tie(this->task, this->attempt) < std::tie(other.task, other.attempt);
    }
};

/// Conversions between a key and its form in commands.
wire::TaskRefT toRef(const TaskKey &key);
TaskKey fromRef(const wire::TaskRefT &ref);

/// The names by which upstreams and the advice service know steps and tasks: JOB.OCCURRENCE.STEP and JOB.OCCURRENCE.STEP.TASK.
std::string stepName(const std::string &jobId, const StepKey &key);
std::string taskName(const std::string &jobId, const TaskKey &key);

/// The parts of a task name.
struct ParsedTaskName {
    std::string jobId;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;
};

/// Empty when the text is not a task name.
std::optional<ParsedTaskName> parseTaskName(const std::string &name);

} // namespace cranberryreel::cell
