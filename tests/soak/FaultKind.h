#pragma once

#include "soak/SoakStep.h"

#include <chrono>

namespace cranberryreel::soak
{

/// How a fault of one VM begins and ends, and how long it may last.
struct FaultKind {
    Action begin = Action::Kill;
    Action end = Action::Start;
    std::chrono::milliseconds shortest{0};
    std::chrono::milliseconds longest{0};
};

} // namespace cranberryreel::soak
