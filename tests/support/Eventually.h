#pragma once

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <thread>

namespace cranberryreel::testsupport
{

/// Polls until the condition holds; false when it did not within the limit.
template<typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds limit = std::chrono::seconds(30))
{
    const base::SteadyTime until = base::steadyNow() + limit;
    while (!condition()) {
        if (base::steadyNow() > until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace cranberryreel::testsupport
