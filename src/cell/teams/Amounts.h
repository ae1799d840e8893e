#pragma once

#include "cell/planning/Capacity.h"

#include <array>
#include <cstddef>

namespace cranberryreel::cell::teams
{

/// Amounts of processor time, memory and accelerators, or such amounts times milliseconds of use (work). In units of planning::Capacity. A plain value.
struct Amounts {
    static constexpr std::size_t Dimensions = 3;

    std::array<double, Dimensions> values{};

    Amounts() = default;

    explicit Amounts(const planning::Capacity &capacity)
        : values{static_cast<double>(capacity.cpuMillis), static_cast<double>(capacity.memoryMib), static_cast<double>(capacity.accelerators)}
    {
    }

    /// What one task of the step uses while it runs.
    explicit Amounts(const wire::StepT &step)
        : values{static_cast<double>(step.cpu_millis), static_cast<double>(step.memory_mib), static_cast<double>(step.accelerators)}
    {
    }

    /// Adds `factor` times the other amounts.
    void add(const Amounts &other, double factor = 1.0)
    {
        for (std::size_t d = 0; d < Dimensions; ++d) {
            this->values[d] += factor * other.values[d];
        }
    }

    double operator[](std::size_t dimension) const
    {
        return this->values[dimension];
    }
};

} // namespace cranberryreel::cell::teams
