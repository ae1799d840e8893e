#include "cell/planning/SpeedClass.h"

#include <algorithm>
#include <cstddef>

namespace cranberryreel::cell::planning
{

namespace
{

/// A service is uneven when its quartiles differ by this factor. Lower than the factor of two at which placement by speed is enabled, so that a service at that
/// limit does not alternate.
constexpr double UnevenRatio = 1.5;

} // namespace

std::optional<double> referenceSpeed(std::vector<double> speeds)
{
    if (speeds.size() < 2) {
        return std::nullopt;
    }
    const auto nth = [&speeds](std::size_t index) {
        const auto at = speeds.begin() + static_cast<std::ptrdiff_t>(index);
        std::nth_element(speeds.begin(), at, speeds.end());
        return *at;
    };
    const std::size_t quarter = (speeds.size() - 1) / 4;
    const double lower = nth(quarter);
    const double upper = nth(speeds.size() - 1 - quarter);
    return upper >= UnevenRatio * lower ? std::optional<double>(upper) : std::nullopt;
}

} // namespace cranberryreel::cell::planning
