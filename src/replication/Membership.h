#pragma once

#include "replication/Member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// The members of a group, ordered by VM. An immutable value.
class Membership
{
public:
    Membership() = default;

    /// Throws base::Error(SettingsInconsistent) for a VM named twice, an empty name or no member at all.
    explicit Membership(std::vector<Member> members);

    const std::vector<Member> &all() const
    {
        return this->members;
    }

    std::size_t size() const
    {
        return this->members.size();
    }

    /// The least number of members that form a majority.
    std::size_t majority() const
    {
        return this->members.size() / 2 + 1;
    }

    /// Returns null when the VM is not a member.
    const Member *find(const std::string &vm) const;

    /// The position of the VM in the order; size() when the VM is not a member.
    std::size_t ordinal(const std::string &vm) const;

    bool operator==(const Membership &other) const
    {
        return this->members == other.members;
    }

private:
    std::vector<Member> members;
};

} // namespace cranberryreel::replication
