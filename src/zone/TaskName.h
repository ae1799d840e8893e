#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::zone
{

/// A task as upstreams know it: "<job id>.<index>".
struct TaskName {
    model::JobId job;
    std::uint32_t index = 0;

    std::string text() const;

    /// Nothing when the text is not a task's name.
    static std::optional<TaskName> parse(const std::string &text);
};

} // namespace cranberryreel::zone
