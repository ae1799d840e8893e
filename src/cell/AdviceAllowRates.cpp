#include "cell/AdviceAllowRates.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// The rate assumed before the first answers, and its weight as a number of queried upstreams.
constexpr double PriorRate = 0.4;
constexpr double PriorWeight = 20;
/// Both counts are scaled by DecayFactor once they cover more upstreams than this, so that the rate follows changes.
constexpr double DecayThreshold = 2000;
constexpr double DecayFactor = 0.5;
constexpr double MinRate = 0.05;

} // namespace

void AdviceAllowRates::recordAnswer(const std::string &queue, std::size_t queried, std::size_t allowed)
{
    Counts &counts = this->queues[queue];
    counts.queried += static_cast<double>(queried);
    counts.allowed += static_cast<double>(allowed);
    if (counts.queried > DecayThreshold) {
        counts.queried *= DecayFactor;
        counts.allowed *= DecayFactor;
    }
}

double AdviceAllowRates::rateFor(const std::string &queue) const
{
    const auto found = this->queues.find(queue);
    const Counts counts = found == this->queues.end() ? Counts() : found->second;
    return std::clamp((counts.allowed + PriorRate * PriorWeight) / (counts.queried + PriorWeight), MinRate, 1.0);
}

} // namespace cranberryreel::cell
