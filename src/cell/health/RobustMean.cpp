#include "cell/health/RobustMean.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace cranberryreel::cell::health
{

namespace
{

/// In logarithms of durations, whose standard deviation is 0.15 to 0.3 among the tasks of a step. A task that takes 7 times as long is 1.95 away.
constexpr double ClipWidth = 0.5;

double weightedMedian(const std::vector<WeightedValue> &sorted, double totalWeight)
{
    double passed = 0;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        passed += sorted[i].weight;
        if (2 * passed > totalWeight || i + 1 == sorted.size()) {
            return sorted[i].value;
        }
        if (2 * passed == totalWeight) {
            return (sorted[i].value + sorted[i + 1].value) / 2;
        }
    }
    return 0;
}

} // namespace

double robustMean(std::vector<WeightedValue> &values)
{
    const auto addWeight = [](double sum, const WeightedValue &each) { return sum + each.weight; };
    const double totalWeight = std::accumulate(values.begin(), values.end(), 0.0, addWeight);
    if (totalWeight <= 0) {
        return 0;
    }
    std::sort(values.begin(), values.end(), [](const WeightedValue &left, const WeightedValue &right) { return left.value < right.value; });
    const double median = weightedMedian(values, totalWeight);
    double sum = 0;
    for (const WeightedValue &each : values) {
        sum += each.weight * std::clamp(each.value, median - ClipWidth, median + ClipWidth);
    }
    return sum / totalWeight;
}

} // namespace cranberryreel::cell::health
