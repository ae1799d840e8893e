#pragma once

#include "cranberryreel/base/Clock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cranberryreel::cell::health
{

/// Decides whether the speeds of the upstreams are uneven: the upper quartile is at least twice the lower one. Load pattern: thirds of the upstreams differ
/// by more than a factor of two, while speeds of 0.8 to 1.3, or a sixth of the upstreams slow for some seconds, must change nothing. Owned by the
/// UpstreamSpeeds.
class SpeedSpread
{
public:
    /// Considers the usual speeds, in logarithms, of the upstreams with enough samples; `known` of them all have samples at all.
    void update(std::vector<double> speeds, std::size_t known, base::SteadyTime now);

    bool isUneven() const
    {
        return this->uneven;
    }

    /// Logarithms, of the last update.
    double lowerQuartile() const
    {
        return this->lower;
    }

    double upperQuartile() const
    {
        return this->upper;
    }

private:
    bool uneven = false;
    std::optional<base::SteadyTime> otherSince; ///< Since when the quartiles ask for the opposite of `uneven`.
    double lower = 0;
    double upper = 0;
};

} // namespace cranberryreel::cell::health
