#pragma once

#include <chrono>

namespace cranberryreel::cell::health
{

/// The weight of a sample of that age against a new one. An upstream ends one to two tasks a second and runs three at a time, so that a few samples count and a
/// slowdown outweighs what was before it within a second.
double sampleWeight(std::chrono::nanoseconds age);

} // namespace cranberryreel::cell::health
