#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"

#include <array>
#include <cstdint>
#include <map>
#include <utility>

namespace cranberryreel::cell
{

/// Writes a log line for each run of a gang that has ended, with the ends of its members by kind. Ends that an earlier leader recorded are not counted. Used by
/// the scheduler's thread only. Owned by the CellTerm.
class GangRunLog
{
public:
    /// Counts the ends of a committed command, and logs the runs that have ended; `state` is that after the command.
    void record(const wire::CommandT &command, const CellState &state);

private:
    using EndCounts = std::array<std::uint32_t, static_cast<std::size_t>(wire::EndKind::MAX) + 1>; ///< By kind.
    using GangRun = std::pair<StepKey, std::uint32_t>; ///< The gang and the attempt.

    static void logRun(const GangRun &run, const EndCounts &counts, const CellState &state);

    std::map<GangRun, EndCounts> ends;
};

} // namespace cranberryreel::cell
