#include "cell/health/SpeedSpread.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace cranberryreel::cell::health
{

namespace
{

/// The quotient of the quartiles from which speeds are uneven, and below which they are even again. Between them nothing changes, so that the error of the
/// quartiles, about a tenth, does not switch placement back and forth.
constexpr double UnevenQuotient = 2.0;
constexpr double EvenQuotient = 1.7;
/// The quartiles must be apart for this long, some fits, and be close again for the longer time before placement changes back.
constexpr std::chrono::milliseconds UnevenDelay{400};
constexpr std::chrono::milliseconds EvenDelay{3000};
/// Quartiles of fewer upstreams mean nothing.
constexpr std::size_t MinUpstreams = 8;

} // namespace

void SpeedSpread::update(std::vector<double> speeds, std::size_t known, base::SteadyTime now)
{
    if (speeds.size() < MinUpstreams || 2 * speeds.size() < known) {
        return;
    }
    const auto quantileAt = [&speeds](std::size_t quarters) {
        const auto at = speeds.begin() + static_cast<std::ptrdiff_t>((speeds.size() - 1) * quarters / 4);
        std::nth_element(speeds.begin(), at, speeds.end());
        return *at;
    };
    this->lower = quantileAt(1);
    this->upper = quantileAt(3);
    const double quotient = std::exp(this->upper - this->lower);
    const bool asksForOther = this->uneven ? quotient < EvenQuotient : quotient >= UnevenQuotient;
    if (!asksForOther) {
        this->otherSince.reset();
        return;
    }
    if (!this->otherSince) {
        this->otherSince = now;
    }
    if (now - *this->otherSince >= (this->uneven ? EvenDelay : UnevenDelay)) {
        this->uneven = !this->uneven;
        this->otherSince.reset();
    }
}

} // namespace cranberryreel::cell::health
