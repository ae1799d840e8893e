#pragma once

#include <vector>

namespace cranberryreel::cell::health
{

struct WeightedValue {
    double value = 0;
    double weight = 1;
};

/// The mean of the values after values further than 0.5 from their weighted median were moved to that distance, so that a few far values move it little. Sorts
/// the values. 0 if there are none.
double robustMean(std::vector<WeightedValue> &values);

} // namespace cranberryreel::cell::health
