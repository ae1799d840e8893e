#pragma once

#include <chrono>

namespace cranberryreel::testsupport
{

/// Offsets this test program's clocks from the kernel's: `suspended` advances CLOCK_BOOTTIME as a suspension of the VM does, `timeOfDayAhead` advances
/// CLOCK_REALTIME.
void skewClocks(std::chrono::seconds suspended, std::chrono::seconds timeOfDayAhead);

} // namespace cranberryreel::testsupport
