#include "cell/planning/UrgentDemand.h"

#include <chrono>
#include <cmath>

namespace cranberryreel::cell::planning
{

namespace
{

/// Bursts last about 4 s and waves of demand have periods of up to 20 s: after a whole period, half of the last maximum is still provided for.
constexpr std::chrono::duration<double> HalfLife{20};

} // namespace

void UrgentDemand::record(const std::string &service, std::int64_t cpuMillis, base::SteadyTime now)
{
    if (cpuMillis >= this->peak(service, now)) {
        this->peaks[service] = {cpuMillis, now};
    }
}

std::int64_t UrgentDemand::peak(const std::string &service, base::SteadyTime now) const
{
    const auto found = this->peaks.find(service);
    if (found == this->peaks.end()) {
        return 0;
    }
    const double halfLives = std::chrono::duration<double>(now - found->second.at) / HalfLife;
    return static_cast<std::int64_t>(std::exp2(-halfLives) * static_cast<double>(found->second.cpuMillis));
}

} // namespace cranberryreel::cell::planning
