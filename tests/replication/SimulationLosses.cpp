#include "Simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace cranberryreel::replication
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds MembershipCheckInterval{500};
constexpr milliseconds StorageRetryInterval{200};
constexpr milliseconds ShortestPowerLoss{1000};
constexpr std::uint64_t PowerLossSpread = 2000;
constexpr std::uint64_t StartSpread = 400; ///< After a power loss the processes start within this many milliseconds.
constexpr milliseconds LongestStutter{900};
constexpr milliseconds LongestTurn{20000};
constexpr milliseconds FormationTime{3000}; ///< Within it the group forms for the first time.

} // namespace

void Simulation::addStandbys()
{
    for (const Member &member : this->options.standbys) {
        Node &node = this->nodes[member.vm];
        node.member = member;
        node.machine = member.vm;
        node.clockRate = 1.0 + (static_cast<double>(this->randomBelow(3)) - 1.0) * this->options.clockDrift;
        this->start(node);
    }
}

void Simulation::startSuccessors()
{
    for (auto successor = this->successors.begin(); successor != this->successors.end();) {
        if (this->now < successor->at) {
            ++successor;
            continue;
        }
        Node &node = this->nodes[successor->member.vm];
        node.member = successor->member;
        node.machine = successor->machine;
        this->record(node.member.vm + " starts empty");
        this->start(node);
        this->lastDisturbance = this->now;
        successor = this->successors.erase(successor);
    }
}

Simulation::Node *Simulation::runningNodeOf(const std::string &machine)
{
    for (auto &[vm, node] : this->nodes) {
        if (node.machine == machine && !node.gone) {
            return &node;
        }
    }
    return nullptr;
}

std::vector<std::string> Simulation::machines() const
{
    std::vector<std::string> list;
    for (const std::vector<Member> *members : {&this->options.members, &this->options.standbys}) {
        for (const Member &member : *members) {
            list.push_back(member.vm);
        }
    }
    return list;
}

bool Simulation::countsAsLost(const std::string &machine) const
{
    const auto found = this->lostUntil.find(machine);
    return found != this->lostUntil.end() && this->now < found->second;
}

std::size_t Simulation::lostMachines() const
{
    const std::vector<std::string> all = this->machines();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [this](const std::string &machine) { return this->countsAsLost(machine); }));
}

bool Simulation::mayBeLost(const std::string &machine) const
{
    return this->countsAsLost(machine) || this->lostMachines() < this->options.tolerated;
}

std::string Simulation::chooseMachine(const Loss &loss)
{
    if (Node *leaderNode = this->findLeaderNode(); loss.hitsLeader && leaderNode != nullptr) {
        return leaderNode->machine;
    }
    const std::vector<std::string> all = this->machines();
    return all[loss.machine % all.size()];
}

void Simulation::inject(const Loss &loss)
{
    this->runFor(loss.wait);
    if (loss.kind == LossKind::PowerLoss) {
        this->losePower();
        return;
    }
    if (loss.kind == LossKind::HandOver || loss.kind == LossKind::Stutter || loss.kind == LossKind::LossyNetwork) {
        this->disturb(loss);
        return;
    }
    const milliseconds turnEnds = this->now + LongestTurn;
    std::string machine = this->chooseMachine(loss);
    while (loss.waitsForTurn && !this->mayBeLost(machine) && this->now < turnEnds && !this->violated()) {
        this->runFor(milliseconds(20));
        machine = this->chooseMachine(loss);
    }
    if (this->mayBeLost(machine) && !this->violated()) {
        this->lose(loss, machine);
    }
}

/// Faults after which every machine goes on as before.
void Simulation::disturb(const Loss &loss)
{
    Node *leaderNode = this->findLeaderNode();
    const milliseconds shortened = loss.duration % LongestStutter;
    milliseconds until = this->now + shortened;
    if (loss.kind == LossKind::HandOver && leaderNode != nullptr) {
        this->record(leaderNode->member.vm + " hands over");
        leaderNode->core->handOver(this->localTime(*leaderNode));
        this->process(*leaderNode);
    } else if (Node *node = this->runningNodeOf(this->chooseMachine(loss)); loss.kind == LossKind::Stutter && node != nullptr) {
        this->record(fmt::format("{} stutters for {}", node->member.vm, shortened.count()));
        node->pausedUntil = std::max(node->pausedUntil, until);
    } else if (loss.kind == LossKind::LossyNetwork) {
        this->record(fmt::format("messages are lost for {}", shortened.count()));
        this->lossyUntil = std::max(this->lossyUntil, until);
    }
    this->lastDisturbance = std::max(this->lastDisturbance, until);
}

void Simulation::lose(const Loss &loss, const std::string &machine)
{
    Node *node = this->runningNodeOf(machine);
    if (node == nullptr) {
        return; // Its successor has not started yet.
    }
    const milliseconds until = this->now + loss.duration;
    const std::string &vm = node->member.vm;
    milliseconds back = until;
    switch (loss.kind) {
    case LossKind::Restart:
        this->crash(*node, loss.duration);
        break;
    case LossKind::Isolate:
        node->outputBlockedUntil = node->inputBlockedUntil = until;
        break;
    case LossKind::FullDisk:
        node->diskFullUntil = until;
        back += StorageRetryInterval;
        break;
    case LossKind::HungDisk:
        node->pausedUntil = until;
        break;
    case LossKind::WipedDisk:
        this->crash(*node, loss.duration);
        node->disk.wipe();
        node->downUntil = std::max(node->downUntil, until);
        break;
    case LossKind::Replaced: {
        this->crash(*node, loss.duration);
        node->gone = true;
        node->core = nullptr;
        node->keeper = nullptr;
        Member member = node->member;
        member.vm = machine + "-" + std::to_string(this->nodes.size());
        this->successors.push_back(Successor{until, member, machine});
        break;
    }
    case LossKind::HandOver:
    case LossKind::Stutter:
    case LossKind::LossyNetwork:
    case LossKind::PowerLoss:
        return;
    }
    back = std::max({back, node->downUntil, node->pausedUntil, node->diskFullUntil, node->inputBlockedUntil});
    this->record(
        fmt::format("{} lost, kind {}, until {}, counts until {}", vm, static_cast<int>(loss.kind), back.count(), (back + this->options.catchUp).count()));
    milliseconds &counts = this->lostUntil[machine];
    counts = std::max(counts, back + this->options.catchUp);
    this->lastDisturbance = std::max(this->lastDisturbance, back);
}

void Simulation::losePower()
{
    std::vector<std::string> candidates = this->machines();
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    const milliseconds outage = ShortestPowerLoss + milliseconds(this->randomBelow(PowerLossSpread));
    std::string wiped;
    for (const std::string &machine : candidates) {
        Node *node = this->runningNodeOf(machine);
        const bool counted = this->countsAsLost(machine);
        if (node == nullptr) {
            continue;
        }
        const bool wipes = counted ? this->randomBelow(2) == 0 : this->mayBeLost(machine);
        const milliseconds down = outage + milliseconds(this->randomBelow(StartSpread));
        this->crash(*node, down);
        node->keeper = nullptr;
        node->diskFailed = false;
        node->pausedUntil = milliseconds(0);
        node->downUntil = std::max(node->downUntil, this->now + down);
        if (wipes) {
            node->disk.wipe();
            wiped += " " + node->member.vm;
        }
        this->powerBackAt = std::max(this->powerBackAt, node->downUntil);
        if (wipes || counted) {
            const milliseconds back = std::max({node->downUntil, node->diskFullUntil, node->inputBlockedUntil});
            this->lostUntil[machine] = std::max(this->lostUntil[machine], back + this->options.catchUp);
        }
    }
    for (Successor &successor : this->successors) {
        successor.at = std::max(successor.at, this->powerBackAt);
        this->lostUntil[successor.machine] = std::max(this->lostUntil[successor.machine], successor.at + this->options.catchUp);
    }
    this->awaitsRecovery = true;
    this->lastDisturbance = std::max(this->lastDisturbance, this->powerBackAt);
    this->record(fmt::format("power lost by all, back at {}, disk also lost:{}", this->powerBackAt.count(), wiped));
}

/// The process leaves the group as a GroupRunner does and comes back once a write succeeds.
void Simulation::failDisk(Node &node)
{
    this->record(node.member.vm + " cannot write");
    node.core = nullptr;
    node.diskFailed = true;
    node.downUntil = this->now;
    while (node.downUntil < node.diskFullUntil) {
        node.downUntil += StorageRetryInterval;
    }
}

void Simulation::keepMembership()
{
    if (!this->options.keeping) {
        return;
    }
    for (auto &[vm, node] : this->nodes) {
        const bool runs = !node.gone && (node.core != nullptr || node.diskFailed) && this->now >= node.pausedUntil;
        if (!runs || this->now < node.nextMembershipCheck) {
            continue;
        }
        node.nextMembershipCheck = this->now + MembershipCheckInterval;
        this->requestStandby(node);
        if (node.core != nullptr && node.core->holdsLease(this->localTime(node))) {
            this->followPlan(node);
        }
    }
}

void Simulation::requestStandby(Node &node)
{
    const std::string &vm = node.member.vm;
    if (node.core != nullptr) {
        const bool inGroup = node.core->standing() == Standing::Full && !node.core->leaderVm().empty();
        if (inGroup && node.core->membership().find(vm) != nullptr) {
            return;
        }
    }
    Node *leaderNode = this->findLeaderNode();
    if (leaderNode != nullptr && leaderNode != &node && !this->isCut(vm, leaderNode->member.vm) && !this->isCut(leaderNode->member.vm, vm)
        && this->now >= leaderNode->pausedUntil) {
        leaderNode->keeper->recordRequest(vm, this->localTime(*leaderNode));
    }
}

void Simulation::followPlan(Node &node)
{
    const base::SteadyTime local = this->localTime(node);
    GroupStatus status;
    status.leader = true;
    status.leaderVm = node.member.vm;
    status.changingMembers = node.core->isChangingMembers();
    status.peers = node.core->peerHealth(local);
    for (const Member &member : node.core->membership().all()) {
        status.members.push_back(member.vm);
    }
    if (this->options.altersStatus) {
        this->options.altersStatus(status);
    }
    cell::GroupKeeper::Plan plan = node.keeper->plan(status, local);
    if (this->options.altersPlan) {
        this->options.altersPlan(plan);
    }
    node.core->setStandbys({plan.standbys.begin(), plan.standbys.end()}, local);
    if (plan.members) {
        std::vector<Member> members;
        for (const std::string &vm : *plan.members) {
            members.push_back(Member{vm, true, false});
        }
        std::uint64_t index = 0;
        const base::ResultCode code = node.core->changeMembers(Membership(members), index, local);
        this->record(fmt::format("{} proposes {} members, code {}", node.member.vm, members.size(), static_cast<int>(code)));
        node.core->flush(local);
    }
    this->process(node);
}

void Simulation::checkLosses()
{
    if (!this->options.keeping) {
        return;
    }
    const Node *leaderNode = this->findLeaderNode();
    const std::string leaderVm = leaderNode == nullptr ? "" : leaderNode->member.vm;
    if (leaderVm != this->recordedLeader) {
        this->record("leader: " + leaderVm);
        this->recordedLeader = leaderVm;
    }
    this->checkLeaderTimes(leaderNode != nullptr);
    if (leaderNode != nullptr && !leaderNode->core->isChangingMembers()) {
        this->checkVoters(*leaderNode->core);
    }
}

void Simulation::checkVoters(const Core &leaderCore)
{
    std::string listed;
    std::size_t withoutLog = 0;
    const std::vector<Member> &members = leaderCore.membership().all();
    for (const Member &member : members) {
        listed += " " + member.vm;
        const Node &node = this->nodes.at(member.vm);
        const bool holdsLog = !node.gone && (node.core == nullptr || node.core->standing() != Standing::Blank);
        withoutLog += holdsLog ? 0 : 1;
        const bool isNew = this->memberCount > 0 && this->recordedMembers.find(" " + member.vm + " ") == std::string::npos;
        if (isNew && !holdsLog && !this->countsAsLost(node.machine)) {
            this->invariants.violated("a new voter holds the log: " + member.vm + " does not");
        }
    }
    if (withoutLog > this->lostMachines() && this->now > FormationTime) {
        this->invariants.violated("no more voters are without the log than machines count as lost, members:" + listed);
    }
    if (listed + " " != this->recordedMembers) {
        this->record("members:" + listed);
        this->recordedMembers = listed + " ";
        if (members.size() % 2 == 0 || members.size() < this->memberCount || members.size() > this->options.keeping->maxMembers) {
            this->invariants.violated("the number of voters stays odd and does not shrink:" + listed);
        }
        this->memberCount = members.size();
    }
}

void Simulation::checkLeaderTimes(bool hasLeader)
{
    if (hasLeader && this->now >= this->powerBackAt && this->awaitsRecovery) {
        this->recoveries.push_back(this->now - this->powerBackAt);
        this->awaitsRecovery = false;
    }
    if (hasLeader) {
        this->lastLeaderAt = this->now;
    }
    if (this->now > std::max(this->lastLeaderAt, this->lastDisturbance) + this->options.leaderWithin) {
        this->invariants.violated(fmt::format("a leader within {} ms of the last disturbance", this->options.leaderWithin.count()));
    }
    if (this->now > std::max(this->lastLeaderAt, this->powerBackAt) + this->options.recoverWithin) {
        this->invariants.violated(fmt::format("a leader within {} ms", this->options.recoverWithin.count()));
    }
}

void Simulation::record(const std::string &event)
{
    if (this->options.keeping) {
        this->events.push_back(fmt::format("{} {}", this->now.count(), event));
    }
}

std::string Simulation::history() const
{
    std::string text;
    for (const std::string &event : this->events) {
        text += event + "\n";
    }
    return text;
}

} // namespace cranberryreel::replication
