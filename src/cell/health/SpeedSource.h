#pragma once

#include <cstdint>

namespace cranberryreel::cell::health
{

/// The speeds of upstreams as placement reads them. Implemented by UpstreamSpeeds, which learns them; plans of a cell in tests set them directly. Used on the
/// scheduler's thread only.
class SpeedSource
{
public:
    virtual ~SpeedSource() = default;

    /// The speed of the upstream, where the mean of all is 1; 1 if nothing is known.
    virtual double speedOf(std::uint64_t upstream) const = 0;

    /// Whether speeds differ by so much more than the estimates' error that placement should consider them.
    virtual bool isUneven() const = 0;
};

} // namespace cranberryreel::cell::health
