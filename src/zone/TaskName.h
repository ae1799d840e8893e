#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::zone
{

/// The id of a task in calls to upstreams: "<job id>.<index>".
struct TaskName {
    model::JobId job;
    std::uint32_t index = 0;

    std::string toString() const;

    /// Returns nothing if the text is not a valid task id.
    static std::optional<TaskName> parse(const std::string &text);
};

} // namespace cranberryreel::zone
