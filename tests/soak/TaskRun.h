#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::soak
{

/// One run of a task on an incarnation of an upstream.
struct TaskRun {
    std::string task;
    std::uint32_t attempt = 0;
    std::string place; ///< The upstream and its incarnation.
    std::chrono::steady_clock::time_point startedAt;
    std::string origin; ///< Tells of a start that was carried out late; empty for others.
};

} // namespace cranberryreel::soak
