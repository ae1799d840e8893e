#include "cell/TaskKey.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <vector>

namespace cranberryreel::cell
{

namespace
{

constexpr std::size_t TaskNameParts = 4;

} // namespace

wire::TaskRefT toRef(const TaskKey &key)
{
    wire::TaskRefT ref;
    ref.job = key.step.job;
    ref.occurrence = key.step.occurrence;
    ref.step = key.step.step;
    ref.task = key.task;
    return ref;
}

TaskKey fromRef(const wire::TaskRefT &ref)
{
    return {{ref.job, ref.occurrence, ref.step}, ref.task};
}

std::string stepName(const std::string &jobId, const StepKey &key)
{
    return fmt::format("{}.{}.{}", jobId, key.occurrence, key.step);
}

std::string taskName(const std::string &jobId, const TaskKey &key)
{
    return fmt::format("{}.{}.{}.{}", jobId, key.step.occurrence, key.step.step, key.task);
}

std::optional<ParsedTaskName> parseTaskName(const std::string &name)
{
    const std::vector<std::string> parts = absl::StrSplit(name, '.');
    ParsedTaskName parsed;
    if (parts.size() != TaskNameParts || !absl::SimpleAtoi(parts[1], &parsed.occurrence) || !absl::SimpleAtoi(parts[2], &parsed.step)
        || !absl::SimpleAtoi(parts[3], &parsed.task)) {
        return std::nullopt;
    }
    parsed.jobId = parts[0];
    return parsed;
}

} // namespace cranberryreel::cell
