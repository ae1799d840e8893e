#include "cell/GroupKeeper.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

using replication::GroupStatus;
using replication::PeerHealth;

/// Standbys repeat their request twice a second.
constexpr std::chrono::milliseconds RequestLifetime{2000};
/// A standby that stored what the leader sent within this time may become a member.
constexpr std::chrono::milliseconds ReadyWithin{1000};

const PeerHealth *findPeer(const GroupStatus &status, const std::string &vm)
{
    const auto found = std::find_if(status.peers.begin(), status.peers.end(), [&vm](const PeerHealth &peer) { return peer.vm == vm; });
    return found == status.peers.end() ? nullptr : &*found;
}

bool isReadyStandby(const PeerHealth &peer)
{
    return !peer.voter && peer.counts && peer.silentFor < ReadyWithin;
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

/// Prefers VMs that follow already, and among them those that store what the leader sends.
std::vector<std::string> GroupKeeper::chooseStandbys(const GroupStatus &status) const
{
    std::vector<std::pair<int, std::string>> ranked;
    for (const auto &[vm, requestedAt] : this->requests) {
        const PeerHealth *peer = findPeer(status, vm);
        if (peer != nullptr && peer->voter) {
            continue;
        }
        const bool silent = peer != nullptr && peer->silentFor > this->options.replaceAfter;
        ranked.emplace_back(silent ? 2 : (peer == nullptr ? 1 : 0), vm);
    }
    std::sort(ranked.begin(), ranked.end());
    // Two are needed to grow a group by an even number.
    const std::size_t wanted =
        status.members.size() < this->options.maxMembers ? std::max<std::size_t>(2, this->options.maxStandbys) : this->options.maxStandbys;
    std::vector<std::string> standbys;
    for (const auto &[rank, vm] : ranked) {
        if (standbys.size() < wanted) {
            standbys.push_back(vm);
        }
    }
    return standbys;
}

void GroupKeeper::planMembers(const GroupStatus &status, Plan &plan) const
{
    std::vector<std::string> ready;
    for (const PeerHealth &peer : status.peers) {
        if (isReadyStandby(peer)) {
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
    if (!plan.lost.empty() || members.size() > before) {
        std::sort(members.begin(), members.end());
        plan.members = std::move(members);
    }
}

} // namespace cranberryreel::cell
