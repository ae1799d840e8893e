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

/// The class of a speed in a service whose upper quartile of speeds is `reference`.
SpeedClass speedClassOf(double speed, double reference);

/// The upper quartile of a service's speeds; empty when they differ too little for classes to matter. Services share no upstream, and one of them may be even
/// while others are not.
std::optional<double> referenceSpeed(std::vector<double> speeds);

} // namespace cranberryreel::cell::planning
