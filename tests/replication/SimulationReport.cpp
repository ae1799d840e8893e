#include "Simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace cranberryreel::replication
{

using std::chrono::milliseconds;

void Simulation::checkInvariants()
{
    std::map<std::string, std::uint64_t> leases;
    for (const auto &[vm, node] : this->nodes) {
        if (node.core != nullptr && node.core->holdsLease(this->localTime(node))) {
            leases[vm] = node.core->hardState().term;
            if (node.member.witness) {
                this->invariants.violated("no witness leads: " + vm);
            }
        }
    }
    this->invariants.leasesHeld(leases);
    this->checkLosses();
    this->crashLeaderAfterRepair();
}

void Simulation::recover(milliseconds limit)
{
    this->endFaults();
    this->recovering = true;
    const milliseconds end = this->now + limit;
    while (this->now < end && !this->violated() && !this->hasRecovered()) {
        this->runFor(milliseconds(50));
    }
    this->recovering = false;
    this->invariants.checkSynced();
    if (!this->violated() && !this->hasRecovered()) {
        this->invariants.violated("recovery: the group does not commit or not all members count and are up to date " + std::to_string(limit.count())
                                  + " ms after the last fault");
    }
}

bool Simulation::hasRecovered() const
{
    const std::string vm = this->leader();
    if (vm.empty()) {
        return false;
    }
    const Core &leaderCore = this->core(vm);
    if (leaderCore.commitIndex() + 20 < leaderCore.log().lastIndex() || leaderCore.commitIndex() == leaderCore.termStart()) {
        return false;
    }
    for (const Member &member : leaderCore.membership().all()) {
        const auto found = this->nodes.find(member.vm);
        const bool counts = found != this->nodes.end() && found->second.core != nullptr && found->second.core->standing() == Standing::Full;
        if (!counts || found->second.applied + 200 < leaderCore.commitIndex()) {
            return false;
        }
    }
    return true;
}

std::string Simulation::leader() const
{
    for (const auto &[vm, node] : this->nodes) {
        if (node.core != nullptr && node.core->holdsLease(this->localTime(node))) {
            return vm;
        }
    }
    return "";
}

const Core &Simulation::core(const std::string &vm) const
{
    return *this->nodes.at(vm).core;
}

std::uint64_t Simulation::highestTerm() const
{
    std::uint64_t highest = 0;
    for (const auto &[vm, node] : this->nodes) {
        highest = std::max(highest, node.core == nullptr ? 0 : node.core->hardState().term);
    }
    return highest;
}

std::string Simulation::describe() const
{
    std::string text;
    for (const auto &[vm, node] : this->nodes) {
        text += vm + ": ";
        if (node.core == nullptr) {
            text += "down\n";
            continue;
        }
        const Core &core = *node.core;
        text += fmt::format("role {}, standing {}, term {}, last ({}, {}), commit {}, members",
                            static_cast<int>(core.role()),
                            static_cast<int>(core.standing()),
                            core.hardState().term,
                            core.log().last().term,
                            core.log().last().index,
                            core.commitIndex());
        for (const Member &member : core.membership().all()) {
            text += " " + member.vm;
        }
        text += "; " + core.unavailableReason(this->localTime(node)) + "\n";
    }
    return text;
}

} // namespace cranberryreel::replication
