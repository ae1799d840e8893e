#pragma once

#include "cranberryreel/model/Resources.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace cranberryreel::policy
{

/// Resources plus upstream slots: everything that a zone can run out of. A value type.
struct Demand {
    static constexpr std::size_t Dimensions = 4;

    model::Resources resources;
    std::int64_t slots = 0;

    Demand &operator+=(const Demand &other)
    {
        this->resources += other.resources;
        this->slots += other.slots;
        return *this;
    }

    Demand &operator-=(const Demand &other)
    {
        this->resources -= other.resources;
        this->slots -= other.slots;
        return *this;
    }

    Demand multipliedBy(std::int64_t count) const
    {
        return {{this->resources.cpuMillis * count, this->resources.memoryMiB * count, this->resources.accelerators * count}, this->slots * count};
    }

    bool fitsIn(const Demand &available) const
    {
        return this->resources.fitsIn(available.resources) && this->slots <= available.slots;
    }

    std::array<std::int64_t, Dimensions> values() const
    {
        return {this->resources.cpuMillis, this->resources.memoryMiB, this->resources.accelerators, this->slots};
    }

    /// Returns this demand as a fraction of `total` in each dimension; 0 where the total is 0.
    std::array<double, Dimensions> fractionsOf(const Demand &total) const
    {
        std::array<double, Dimensions> fractions{};
        const auto amounts = this->values();
        const auto totals = total.values();
        for (std::size_t i = 0; i < Dimensions; ++i) {
            fractions[i] = totals[i] > 0 ? static_cast<double>(amounts[i]) / static_cast<double>(totals[i]) : 0.0;
        }
        return fractions;
    }

    /// Returns the largest of the fractions.
    double dominantShareOf(const Demand &total) const
    {
        const auto fractions = this->fractionsOf(total);
        return *std::max_element(fractions.begin(), fractions.end());
    }
};

inline Demand taskDemand(const model::Resources &resources)
{
    return {resources, 1};
}

} // namespace cranberryreel::policy
