#pragma once

#include "replication/Group.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Decides on the leader which VMs are members of the cell group and which stand by. A standby follows the log before it takes a lost member's place, so that
/// the change leaves no moment with fewer copies of the log than before. No I/O, no clock. Owned by the CellMember, which guards it.
class GroupKeeper
{
public:
    struct Options {
        std::size_t maxMembers = 3; ///< Odd, so that a split of the group always leaves a majority on one side.
        std::size_t maxStandbys = 1;
        std::chrono::milliseconds replaceAfter{2000}; ///< A member that has not stored the log for this long is replaced.
    };

    struct Plan {
        std::vector<std::string> standbys; ///< VMs that are to follow the log.
        std::vector<std::string> lost; ///< Members that lose their place.
        std::optional<std::vector<std::string>> members; ///< The new members; not set while they need not change.
    };

    explicit GroupKeeper(Options keeperOptions);

    /// Records that a VM which is not a member asked to follow the log.
    void recordRequest(const std::string &vm, base::SteadyTime now);

    /// Returns what the leader should change; `status` is the leader's own.
    Plan plan(const replication::GroupStatus &status, base::SteadyTime now);

private:
    std::chrono::milliseconds readyWithin() const;
    std::vector<std::string> chooseStandbys(const replication::GroupStatus &status) const;
    void dropSurplus(const replication::GroupStatus &status, std::vector<std::string> &members, Plan &plan) const;
    void planMembers(const replication::GroupStatus &status, Plan &plan) const;

    const Options options;
    std::map<std::string, base::SteadyTime> requests; ///< Time of the last request, by VM.
};

} // namespace cranberryreel::cell
