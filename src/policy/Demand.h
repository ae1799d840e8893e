#pragma once

#include "cranberryreel/model/Resources.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace cranberryreel::policy
{

/// Resources together with upstream slots: everything that a zone can run out of. A value, copied freely.
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

    Demand times(std::int64_t count) const
    {
        return {{this->resources.cpuMillis * count, this->resources.memoryMiB * count, this->resources.accelerators * count}, this->slots * count};
    }

    bool fitsIn(const Demand &room) const
    {
        return this->resources.fitsIn(room.resources) && this->slots <= room.slots;
    }

    std::array<std::int64_t, Dimensions> values() const
    {
        return {this->resources.cpuMillis, this->resources.memoryMiB, this->resources.accelerators, this->slots};
    }

    /// This demand as a fraction of `total` on each dimension; 0 where the total has none.
    std::array<double, Dimensions> fractionsOf(const Demand &total) const
    {
        std::array<double, Dimensions> fractions{};
        const auto mine = this->values();
        const auto all = total.values();
        for (std::size_t i = 0; i < Dimensions; ++i) {
            fractions[i] = all[i] > 0 ? static_cast<double>(mine[i]) / static_cast<double>(all[i]) : 0.0;
        }
        return fractions;
    }

    /// The largest of the fractions.
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
