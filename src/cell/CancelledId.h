#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace cranberryreel::cell
{

/// A job id that was cancelled before a job of it was accepted. Owned by the CellState.
struct CancelledId {
    std::int64_t cancelledMs = 0; ///< Unix time of the last cancel.
    std::set<std::string> teams; ///< Whose jobs are not accepted; empty: no job is. An empty name stands for jobs without a team.
};

} // namespace cranberryreel::cell
