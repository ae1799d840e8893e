#pragma once

#include <cstdlib>
#include <string>

namespace cranberryreel::support
{

/// The seed of every randomized test: CRANBERRYREEL_TEST_SEED, or the project's usual one.
inline unsigned long testSeed()
{
    constexpr unsigned long UsualSeed = 20261204;
    const char *given = std::getenv("CRANBERRYREEL_TEST_SEED");
    return given == nullptr ? UsualSeed : std::stoul(given);
}

} // namespace cranberryreel::support
