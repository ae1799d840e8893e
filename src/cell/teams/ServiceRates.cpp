#include "cell/teams/ServiceRates.h"

#include <algorithm>

namespace cranberryreel::cell::teams
{

namespace
{

/// A completion counts 1/e after this many later ones: at some hundred tasks a second a change shows within seconds, and the error of a mean over so many
/// tasks whose estimates are off by 0.9 is 6%.
constexpr double MemoryCompletions = 200;
/// The rate 1 is assumed with the weight of so much task time, which outweighs the first few tasks.
constexpr std::chrono::milliseconds PriorTime{10000};
/// Bounds of the rate: a wrong measurement must not make a prediction meaningless.
constexpr double MinRate = 0.25;
constexpr double MaxRate = 4;

} // namespace

void ServiceRates::recordCompletion(const std::string &service, std::chrono::milliseconds estimate, std::chrono::milliseconds duration)
{
    constexpr double Kept = 1 - 1 / MemoryCompletions;
    if (estimate <= std::chrono::milliseconds(0)) {
        return;
    }
    Times &times = this->services[service];
    times.estimated = Kept * times.estimated + static_cast<double>(estimate.count());
    times.taken = Kept * times.taken + static_cast<double>(duration.count());
}

double ServiceRates::rateOf(const std::string &service) const
{
    const auto found = this->services.find(service);
    const Times times = found == this->services.end() ? Times() : found->second;
    const auto prior = static_cast<double>(PriorTime.count());
    return std::clamp((times.estimated + prior) / (times.taken + prior), MinRate, MaxRate);
}

} // namespace cranberryreel::cell::teams
