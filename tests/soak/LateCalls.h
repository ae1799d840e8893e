#pragma once

#include "soak/UpstreamCall.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace cranberryreel::soak
{

/// Calls that an upstream leaves unanswered and carries out later, also after a restart. Owned by its upstream, whose lock guards it.
class LateCalls
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    explicit LateCalls(std::uint64_t seed);

    /// Draws whether the call is carried out late, and keeps it if so.
    bool keep(const UpstreamCall &call, SteadyTime now);

    /// Removes and returns the calls that are due. A start that an earlier incarnation received is due only once the cell knows the present one: no caller
    /// can prevent it before.
    std::vector<UpstreamCall> takeDue(SteadyTime now, int incarnation, bool isKnown);

private:
    struct LateCall {
        UpstreamCall call;
        SteadyTime due;
    };

    std::mt19937_64 random;
    std::vector<LateCall> calls;
};

} // namespace cranberryreel::soak
