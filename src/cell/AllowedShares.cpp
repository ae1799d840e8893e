#include "cell/AllowedShares.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// What is taken for true before the first answers, and how many upstreams' worth of answers outweigh it.
constexpr double ShareAtFirst = 0.4;
constexpr double WeightAtFirst = 20;
/// Answers about more upstreams than this fade, so that the share follows changes.
constexpr double Remembered = 2000;
constexpr double Fading = 0.5;
constexpr double LeastShare = 0.05;

} // namespace

void AllowedShares::answered(const std::string &queue, std::size_t asked, std::size_t allowed)
{
    Counts &counts = this->queues[queue];
    counts.asked += static_cast<double>(asked);
    counts.allowed += static_cast<double>(allowed);
    if (counts.asked > Remembered) {
        counts.asked *= Fading;
        counts.allowed *= Fading;
    }
}

double AllowedShares::of(const std::string &queue) const
{
    const auto known = this->queues.find(queue);
    const Counts counts = known == this->queues.end() ? Counts() : known->second;
    return std::clamp((counts.allowed + ShareAtFirst * WeightAtFirst) / (counts.asked + WeightAtFirst), LeastShare, 1.0);
}

} // namespace cranberryreel::cell
