#include "replication/Membership.h"

#include "cranberryreel/base/Error.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

Membership::Membership(std::vector<Member> list)
    : members(std::move(list))
{
    std::sort(this->members.begin(), this->members.end(), [](const Member &a, const Member &b) { return a.vm < b.vm; });
    const auto same = [](const Member &a, const Member &b) { return a.vm == b.vm; };
    const bool twice = std::adjacent_find(this->members.begin(), this->members.end(), same) != this->members.end();
    if (this->members.empty() || this->members.front().vm.empty() || twice) {
        throw base::Error(base::ResultCode::SettingsInconsistent, "A group needs members with distinct VM names.");
    }
}

const Member *Membership::find(const std::string &vm) const
{
    const std::size_t position = this->ordinal(vm);
    return position < this->members.size() ? &this->members[position] : nullptr;
}

std::size_t Membership::ordinal(const std::string &vm) const
{
    const auto found = std::find_if(this->members.begin(), this->members.end(), [&vm](const Member &member) { return member.vm == vm; });
    return static_cast<std::size_t>(found - this->members.begin());
}

} // namespace cranberryreel::replication
