#pragma once

#include "replication/Group.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace cranberryreel::cell
{

/// Logs when members of the cell group fall silent and answer again, and exports how many more losses the group survives. One thread. Owned by CellMember.
class VoterWatch
{
public:
    VoterWatch();

    /// Handles the group's current status; called at short intervals.
    void update(const replication::GroupStatus &status);

private:
    /// What the metrics export. The numbers are unknown (NaN) on a VM that does not lead.
    struct Figures {
        std::atomic<double> voters;
        std::atomic<double> counting;
        std::atomic<double> standbysReady;
        std::atomic<double> lossesTolerated;
        std::atomic<double> leaderKnown;
    };

    void logSilentVoters(const replication::GroupStatus &status);
    void logMembers(const replication::GroupStatus &status);

    std::shared_ptr<Figures> figures;
    std::set<std::string> silent; ///< Voters that were reported as silent.
    std::string members; ///< As logged last.
};

} // namespace cranberryreel::cell
