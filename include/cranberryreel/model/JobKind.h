#pragma once

#include <cstdint>

namespace cranberryreel::model
{

/// What a piece of work asks of the scheduler; each kind has a policy of its own.
enum class JobKind : std::uint8_t {
    Request, ///< One short task, answered on the caller's connection, with a deadline.
    Service, ///< Tasks that stay up until cancelled, spread over racks.
    Batch, ///< Independent tasks that run to an end and may be preempted after a checkpoint.
    Gang, ///< Tasks that start all at once or not at all.
};

} // namespace cranberryreel::model
