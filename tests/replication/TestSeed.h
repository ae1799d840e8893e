#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace cranberryreel::replication
{

/// The seed of all randomized tests that do not get one from RapidCheck: CRANBERRYREEL_TEST_SEED, if it is set.
inline std::uint64_t testSeed()
{
    constexpr std::uint64_t Default = 20261204;
    const char *given = std::getenv("CRANBERRYREEL_TEST_SEED");
    return given == nullptr ? Default : std::stoull(given);
}

} // namespace cranberryreel::replication
