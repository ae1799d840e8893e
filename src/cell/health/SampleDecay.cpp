#include "cell/health/SampleDecay.h"

#include <cmath>

namespace cranberryreel::cell::health
{

double sampleWeight(std::chrono::nanoseconds age)
{
    constexpr std::chrono::duration<double> DecayTime(1.2);
    return std::exp(-std::chrono::duration<double>(age) / DecayTime);
}

} // namespace cranberryreel::cell::health
