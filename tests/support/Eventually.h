#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace cranberryreel::support
{

/// Polls a condition; returns false when it is not true within the limit.
inline bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(20))
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace cranberryreel::support
