#include "cell/health/TypePriors.h"

#include <algorithm>
#include <cmath>

namespace cranberryreel::cell::health
{

namespace
{

/// A type with fewer upstreams than this is not compared.
constexpr double MinUpstreams = 5;
/// Types whose means differ by less, a quarter of the speed, do not matter.
constexpr double MinDifference = 0.25;
/// The difference in standard errors below which it may be chance. 4 allows for some types being compared in each of many fits.
constexpr double MinStandardErrors = 4;

} // namespace

void TypePriors::add(const std::string &type, double logSpeed)
{
    Sums &sums = this->types[type];
    ++sums.count;
    sums.sum += logSpeed;
    sums.sumOfSquares += logSpeed * logSpeed;
}

std::vector<TypePriors::Sums> TypePriors::comparable() const
{
    std::vector<Sums> enough;
    for (const auto &[type, sums] : this->types) {
        if (sums.count >= MinUpstreams) {
            enough.push_back(sums);
        }
    }
    return enough;
}

void TypePriors::compare()
{
    const std::vector<Sums> enough = this->comparable();
    if (enough.size() < 2) {
        return;
    }
    const auto mean = [](const Sums &sums) { return sums.sum / sums.count; };
    const auto squaredError = [&mean](const Sums &sums) { return std::max(0.0, sums.sumOfSquares / sums.count - mean(sums) * mean(sums)) / sums.count; };
    const auto [slow, fast] =
        std::minmax_element(enough.begin(), enough.end(), [&mean](const Sums &left, const Sums &right) { return mean(left) < mean(right); });
    const double difference = mean(*fast) - mean(*slow);
    this->different = difference > MinDifference && difference > MinStandardErrors * std::sqrt(squaredError(*slow) + squaredError(*fast));
}

double TypePriors::of(const std::string &type) const
{
    const auto found = this->types.find(type);
    return !this->different || found == this->types.end() || found->second.count < MinUpstreams ? 0.0 : found->second.sum / found->second.count;
}

} // namespace cranberryreel::cell::health
