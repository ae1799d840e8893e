#pragma once

#include <chrono>

namespace cranberryreel::testsupport
{

/// What this test program's clocks show beyond the kernel's, as after a suspension of the VM or a step of the time of day.
void skewClocks(std::chrono::seconds suspended, std::chrono::seconds timeOfDayAhead);

} // namespace cranberryreel::testsupport
