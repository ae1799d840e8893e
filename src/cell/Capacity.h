#pragma once

#include "cell/CellState.h"

#include <cstdint>

namespace cranberryreel::cell
{

/// An amount of what tasks use on upstreams. Pure.
struct Capacity {
    std::int64_t cpuMillis = 0; ///< Thousandths of a core.
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    /// All that the upstream has.
    static Capacity of(const wire::UpstreamT &upstream);

    /// How many tasks of this size fit, `most` at most.
    std::uint32_t fits(const wire::StepT &step, std::uint32_t most) const;

    void take(const wire::StepT &step, std::uint32_t tasks = 1);
    void giveBack(const wire::StepT &step, std::uint32_t tasks = 1);

    /// Adds this share of the other amount.
    void add(const Capacity &other, double share);

    /// Takes an equal part of what so many tasks need, one of `parts`.
    void takePart(const wire::StepT &step, std::uint32_t tasks, std::size_t parts);
};

} // namespace cranberryreel::cell
