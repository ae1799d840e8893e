#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::model
{

/// Identifies one attempt to run one task.
struct TaskAttempt {
    std::string taskId; ///< "<job id>.<task index>".
    std::uint32_t attempt = 0;
};

} // namespace cranberryreel::model
