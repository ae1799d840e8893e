#pragma once

#include <deque>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The VMs of the cell that this VM knows, by the source that named them. Its size is bounded: VMs that no source names any more are forgotten. Not
/// thread-safe. Owned by the CellCaller.
class KnownVms
{
public:
    /// Replaces the VMs that the settings list.
    void setSeeds(std::vector<std::string> vms);

    /// Replaces the members that this VM's own log of the group names.
    void setLoggedMembers(std::vector<std::string> vms);

    /// Replaces the members that the leader named, and forgets the VMs that others named.
    void setMembers(std::vector<std::string> vms);

    /// Adds a VM that another VM named, in place of the oldest such VM if there are many.
    void addNamed(const std::string &vm);

    /// All VMs without duplicates, the members first.
    std::vector<std::string> all() const;

    /// The VMs of which more than half must be reachable for the group to have a leader: the members by the best source, or all VMs if no source names them.
    std::vector<std::string> voters() const;

private:
    std::vector<std::string> seeds;
    std::vector<std::string> loggedMembers;
    std::vector<std::string> members;
    std::deque<std::string> named; ///< Oldest first.
};

} // namespace cranberryreel::cell
