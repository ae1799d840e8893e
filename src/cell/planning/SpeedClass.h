#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Upstreams of one class count as equally fast, so that load, zone and failures decide between them and the single fastest one attracts no herd of tasks.
/// Speeds within a class differ by about a third, which is more than the error of an estimate.
enum class SpeedClass : std::uint8_t {
    Stalled, ///< So slow that it is likely a fault of a few seconds; last choice for all work.
    Slow,
    Medium,
    Fast
};

/// Lower bounds of the classes, as shares of the reference. Speeds of 0.7 and 1.7 have a ratio of 0.41, and lie well inside their classes with estimates off by
/// a quarter.
constexpr double FastBound = 0.75;
constexpr double MediumBound = 0.55;
constexpr double SlowBound = 0.2;

/// The class of a speed in a service whose upper quartile of speeds is `reference`. Inline, since plans call it for each upstream of each waiting step.
inline SpeedClass speedClassOf(double speed, double reference)
{
    if (speed >= FastBound * reference) {
        return SpeedClass::Fast;
    }
    if (speed >= MediumBound * reference) {
        return SpeedClass::Medium;
    }
    return speed >= SlowBound * reference ? SpeedClass::Slow : SpeedClass::Stalled;
}

/// The upper quartile of a service's speeds; empty when they differ too little for classes to matter. Services share no upstream, and one of them may be even
/// while others are not.
std::optional<double> referenceSpeed(std::vector<double> speeds);

} // namespace cranberryreel::cell::planning
