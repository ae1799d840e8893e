#pragma once

#include <cstdint>

namespace cranberryreel::model
{

/// The kind of a job or request. Each kind has its own scheduling policy.
enum class JobKind : std::uint8_t {
    Request, ///< One short task, answered on the caller's connection, with a deadline.
    Service, ///< Tasks that run until cancelled, spread over racks.
    Batch, ///< Independent tasks that run to completion and may be preempted after a checkpoint.
    Gang, ///< Tasks that start all together or not at all.
};

} // namespace cranberryreel::model
