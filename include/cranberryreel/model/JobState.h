#pragma once

#include <cstdint>

namespace cranberryreel::model
{

/// State of a job or task as reported to the caller. The last four states are final, except that a query to the upstream may still resolve Unknown.
enum class JobState : std::uint8_t {
    Accepted, ///< Waiting; no start request was sent.
    Running, ///< A start request was sent, or the work runs or is being moved to another upstream.
    Done,
    Failed, ///< The work ran, at least in part, and did not succeed.
    NotRun, ///< The work is known never to have started.
    Unknown, ///< The work may have run; the upstream could not be queried.
};

inline bool isFinal(JobState state)
{
    return state != JobState::Accepted && state != JobState::Running;
}

} // namespace cranberryreel::model
