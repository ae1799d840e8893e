#pragma once

#include <cstdlib>
#include <string>

namespace cranberryreel::support
{

/// Returns the seed of all randomized tests: CRANBERRYREEL_TEST_SEED, or a fixed default.
inline unsigned long testSeed()
{
    constexpr unsigned long DefaultSeed = 20261204;
    const char *given = std::getenv("CRANBERRYREEL_TEST_SEED");
    return given == nullptr ? DefaultSeed : std::stoul(given);
}

} // namespace cranberryreel::support
