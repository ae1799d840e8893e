#include "cell/GroupKeeper.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

using replication::GroupStatus;
using replication::PeerHealth;

/// Standbys repeat their request several times a second.
constexpr std::chrono::milliseconds RequestLifetime{2000};
/// A standby that has not copied the log by then makes room for another.
constexpr std::chrono::seconds CopyLimit{30};
/// A standby that stored what the leader sent within this time may become a member.
constexpr std::chrono::milliseconds ReadyWithin{1000};

bool isReadyStandby(const PeerHealth &peer, std::chrono::milliseconds within)
{
    return !peer.voter && peer.hasStoredWithin(within);
}

} // namespace

GroupKeeper::GroupKeeper(Options keeperOptions)
    : options(keeperOptions)
{
}

void GroupKeeper::recordRequest(const std::string &vm, base::SteadyTime now)
{
    this->requests[vm] = now;
}

GroupKeeper::Plan GroupKeeper::plan(const GroupStatus &status, base::SteadyTime now)
{
    for (auto request = this->requests.begin(); request != this->requests.end();) {
        request = now - request->second > RequestLifetime ? this->requests.erase(request) : std::next(request);
    }
    Plan plan;
    plan.standbys = this->chooseStandbys(status);
    if (!status.changingMembers) {
        this->planMembers(status, plan);
    }
    return plan;
}

/// Prefers VMs that follow already, and among them those that hold the log. One that holds it is kept even if it no longer asks.
std::vector<std::string> GroupKeeper::chooseStandbys(const GroupStatus &status) const
{
    enum Rank {
        Ready,
        Copying,
        Asking,
        Failing
    };
    std::vector<std::pair<Rank, std::string>> ranked;
    for (const PeerHealth &peer : status.peers) {
        if (isReadyStandby(peer, this->readyWithin())) {
            ranked.emplace_back(Ready, peer.vm);
        } else if (!peer.voter && this->requests.count(peer.vm) > 0) {
            const bool copies = !peer.counts && peer.unansweredFor <= this->options.replaceAfter && peer.silentFor <= CopyLimit;
            const bool catchesUp = peer.counts && peer.silentFor <= this->options.replaceAfter;
            ranked.emplace_back(copies || catchesUp ? Copying : Failing, peer.vm);
        }
    }
    for (const auto &[vm, requestedAt] : this->requests) {
        if (status.findPeer(vm) == nullptr) {
            ranked.emplace_back(Asking, vm);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    // Two are needed to grow a group from one odd size to the next.
    const bool grows = status.members.size() < this->options.maxMembers;
    const std::size_t wanted = std::max<std::size_t>(grows ? 2 : 0, this->options.maxStandbys);
    std::vector<std::string> standbys;
    for (std::size_t i = 0; i < std::min(wanted, ranked.size()); ++i) {
        standbys.push_back(ranked[i].second);
    }
    return standbys;
}

/// A standby that takes a place must have stored more lately than the member that loses it.
std::chrono::milliseconds GroupKeeper::readyWithin() const
{
    return std::min(ReadyWithin, this->options.replaceAfter);
}

/// A group of more members than it needs, or of an even number, gives up silent ones first; never this leader.
void GroupKeeper::dropSurplus(const GroupStatus &status, std::vector<std::string> &members, Plan &plan) const
{
    while (members.size() > 1 && (members.size() > this->options.maxMembers || members.size() % 2 == 0)) {
        const PeerHealth *surplus = nullptr;
        for (const PeerHealth &peer : status.peers) {
            const bool listed = std::find(members.begin(), members.end(), peer.vm) != members.end();
            if (listed && peer.vm != status.leaderVm && (surplus == nullptr || peer.silentFor > surplus->silentFor)) {
                surplus = &peer;
            }
        }
        if (surplus == nullptr || (members.size() <= this->options.maxMembers && surplus->silentFor <= this->options.replaceAfter)) {
            return;
        }
        plan.lost.push_back(surplus->vm);
        members.erase(std::find(members.begin(), members.end(), surplus->vm));
    }
}

void GroupKeeper::planMembers(const GroupStatus &status, Plan &plan) const
{
    std::vector<std::string> ready;
    for (const PeerHealth &peer : status.peers) {
        if (isReadyStandby(peer, this->readyWithin())) {
            ready.push_back(peer.vm);
        }
    }
    std::vector<std::string> members;
    for (const PeerHealth &peer : status.peers) {
        if (!peer.voter) {
            continue;
        }
        if (peer.silentFor > this->options.replaceAfter && !ready.empty()) {
            plan.lost.push_back(peer.vm);
            members.push_back(ready.back());
            ready.pop_back();
        } else {
            members.push_back(peer.vm);
        }
    }
    const std::size_t before = members.size();
    // An even number of members survives no more losses than one less, and a split in halves leaves it without a majority.
    while (!ready.empty() && members.size() < this->options.maxMembers && (members.size() % 2 == 0 || ready.size() > 1)) {
        members.push_back(ready.back());
        ready.pop_back();
    }
    this->dropSurplus(status, members, plan);
    if (!plan.lost.empty() || members.size() > before) {
        std::sort(members.begin(), members.end());
        plan.members = std::move(members);
    }
}

} // namespace cranberryreel::cell
