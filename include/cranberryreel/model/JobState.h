#pragma once

#include <cstdint>

namespace cranberryreel::model
{

/// What a caller is told about a job or one of its tasks. The last four are final, except that Unknown may still be resolved by asking the upstream.
enum class JobState : std::uint8_t {
    Accepted, ///< Waits; nothing was dispatched.
    Running, ///< Dispatched, or running, or being moved.
    Done,
    Failed, ///< It ran, in part at least, and did not succeed.
    NotRun, ///< Proved never to have started.
    Unknown, ///< It may have run; the upstream could not be asked.
};

inline bool isFinal(JobState state)
{
    return state != JobState::Accepted && state != JobState::Running;
}

} // namespace cranberryreel::model
