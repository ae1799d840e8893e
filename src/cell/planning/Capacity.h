#pragma once

#include "cell/CellState.h"

#include <cstdint>

namespace cranberryreel::cell::planning
{

/// An amount of the resources that tasks use on upstreams. A plain value; amounts turn negative where more is allocated than there is.
struct Capacity {
    std::int64_t cpuMillis = 0; ///< Thousandths of a core.
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    /// The total capacity of the upstream, whether in use or not.
    static Capacity totalOf(const wire::UpstreamT &upstream);

    /// How many tasks of the step fit into this amount, up to `most`.
    std::uint32_t countFitting(const wire::StepT &step, std::uint32_t most) const;

    /// Subtracts the resources of so many tasks of the step.
    void allocate(const wire::StepT &step, std::uint32_t tasks = 1);
    /// Adds the resources of so many tasks of the step.
    void release(const wire::StepT &step, std::uint32_t tasks = 1);

    /// Adds `share` times the other amount.
    void addShare(const Capacity &other, double share);

    /// Subtracts one of `parts` equal parts of the resources of so many tasks.
    void allocatePart(const wire::StepT &step, std::uint32_t tasks, std::size_t parts);
};

} // namespace cranberryreel::cell::planning
