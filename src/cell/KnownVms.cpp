#include "cell/KnownVms.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

constexpr std::size_t MaxNamed = 16;

template<typename Vms>
bool contains(const Vms &vms, const std::string &vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

template<typename Vms>
void appendMissing(const Vms &vms, std::vector<std::string> &target)
{
    for (const std::string &vm : vms) {
        if (!contains(target, vm)) {
            target.push_back(vm);
        }
    }
}

} // namespace

void KnownVms::setSeeds(std::vector<std::string> vms)
{
    this->seeds = std::move(vms);
}

void KnownVms::setLoggedMembers(std::vector<std::string> vms)
{
    this->loggedMembers = std::move(vms);
}

void KnownVms::setMembers(std::vector<std::string> vms)
{
    this->members = std::move(vms);
    this->named.clear();
}

void KnownVms::addNamed(const std::string &vm)
{
    if (contains(this->all(), vm)) {
        return;
    }
    this->named.push_back(vm);
    if (this->named.size() > MaxNamed) {
        this->named.pop_front();
    }
}

std::vector<std::string> KnownVms::all() const
{
    std::vector<std::string> vms;
    appendMissing(this->members, vms);
    appendMissing(this->loggedMembers, vms);
    appendMissing(this->seeds, vms);
    appendMissing(this->named, vms);
    return vms;
}

std::vector<std::string> KnownVms::voters() const
{
    if (!this->members.empty()) {
        return this->members;
    }
    return this->loggedMembers.empty() ? this->all() : this->loggedMembers;
}

} // namespace cranberryreel::cell
