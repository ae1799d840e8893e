#include "Simulation.h"

#include <algorithm>

namespace cranberryreel::replication
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds RollBackRepair{12000};
constexpr milliseconds QuietLimit{20000};
constexpr std::size_t ShrunkSize = 3;
constexpr milliseconds InputBlockedTime{8000};
constexpr std::uint64_t LongestRestartMilliseconds = 1000;

} // namespace

void Simulation::crash(Node &node, milliseconds down)
{
    if (node.core == nullptr) {
        return;
    }
    if (!node.member.hasDisk) {
        node.lostMemory = true;
    }
    node.core = nullptr;
    node.keeper = nullptr;
    node.downUntil = this->now + down;
}

bool Simulation::mayLoseMemory(const Node &node) const
{
    if (this->options.memoryLostAnywhere) {
        return true;
    }
    std::size_t lost = 0;
    for (const auto &[vm, other] : this->nodes) {
        const bool counts = other.core != nullptr && other.core->standing() == Standing::Full;
        lost += other.lostMemory || (!other.member.hasDisk && !counts) || (other.core != nullptr && other.core->standing() == Standing::Blank) ? 1 : 0;
    }
    const bool alreadyLost = node.lostMemory || node.core == nullptr || node.core->standing() == Standing::Blank;
    const std::size_t size = this->options.members.size();
    return alreadyLost ? node.lostMemory : lost + 1 <= size - (size / 2 + 1);
}

void Simulation::inject(const Fault &fault)
{
    this->runFor(fault.wait);
    Node &node = this->nodeAt(fault.member);
    Node &other = this->nodeAt(fault.other);
    Node *leaderNode = this->findLeaderNode();
    const milliseconds until = this->now + fault.duration;
    switch (fault.kind) {
    case FaultKind::None:
        break;
    case FaultKind::Crash:
        if (node.member.hasDisk || this->mayLoseMemory(node)) {
            this->crash(node, fault.duration);
        }
        break;
    case FaultKind::CrashLeader:
        if (leaderNode != nullptr && (leaderNode->member.hasDisk || this->mayLoseMemory(*leaderNode))) {
            this->crash(*leaderNode, fault.duration);
        }
        break;
    case FaultKind::CrashBeforeSync:
        node.crashBeforeSync = node.member.hasDisk;
        break;
    case FaultKind::WipeDisk:
        if (node.member.hasDisk && !this->options.memoryLostAnywhere && this->mayLoseMemory(node)) {
            this->crash(node, fault.duration);
            node.disk.wipe();
            node.lostMemory = true;
        }
        break;
    case FaultKind::RollBackDisk:
        if (node.member.hasDisk && !this->options.memoryLostAnywhere && this->mayLoseMemory(node)) {
            this->rollBackDisk(node, fault.duration);
        }
        break;
    case FaultKind::BlockLeaderInput:
        this->blockLeaderInput();
        break;
    case FaultKind::Split:
        this->split(fault);
        break;
    case FaultKind::IsolateFollower:
        this->isolateFollower(fault);
        break;
    case FaultKind::IsolateWitness:
        for (Node *each : this->allNodes()) {
            if (each->member.witness) {
                each->outputBlockedUntil = each->inputBlockedUntil = until;
            }
        }
        break;
    case FaultKind::CrashAll:
        for (Node *each : this->allNodes()) {
            if (each->member.hasDisk || this->mayLoseMemory(*each)) {
                this->crash(*each, milliseconds(1 + this->randomBelow(LongestRestartMilliseconds)));
            }
        }
        break;
    case FaultKind::Pause:
        node.pausedUntil = until;
        break;
    case FaultKind::PauseLeader:
        (leaderNode != nullptr ? *leaderNode : node).pausedUntil = until;
        break;
    case FaultKind::Isolate:
        node.outputBlockedUntil = node.inputBlockedUntil = until;
        break;
    case FaultKind::IsolateLeader:
        (leaderNode != nullptr ? *leaderNode : node).outputBlockedUntil = until;
        (leaderNode != nullptr ? *leaderNode : node).inputBlockedUntil = until;
        break;
    case FaultKind::CutPair:
        this->cuts[{node.member.vm, other.member.vm}] = until;
        this->cuts[{other.member.vm, node.member.vm}] = until;
        break;
    case FaultKind::CutOneWay:
        node.outputBlockedUntil = until;
        break;
    case FaultKind::Lossy:
        this->lossyUntil = until;
        break;
    case FaultKind::ChangeMembers:
        this->changeMembers(fault);
        break;
    case FaultKind::HandOver:
        if (leaderNode != nullptr) {
            leaderNode->core->handOver(this->localTime(*leaderNode));
            this->process(*leaderNode);
        }
        break;
    case FaultKind::RaiseTerm:
        if (leaderNode != nullptr) {
            leaderNode->core->raiseTerm(leaderNode->core->hardState().term + 50, this->localTime(*leaderNode));
            this->process(*leaderNode);
        }
        break;
    case FaultKind::RestartRepaired:
        this->crashAfterRepair = true;
        break;
    }
}

void Simulation::split(const Fault &fault)
{
    const std::vector<Node *> list = this->allNodes();
    const std::uint64_t parts = fault.member ^ (static_cast<std::uint64_t>(fault.other) << 3U);
    for (std::size_t i = 0; i < list.size(); ++i) {
        for (std::size_t j = 0; j < list.size(); ++j) {
            if (((parts >> i) & 1U) != ((parts >> j) & 1U)) {
                this->cuts[{list[i]->member.vm, list[j]->member.vm}] = this->now + fault.duration;
            }
        }
    }
}

void Simulation::blockLeaderInput()
{
    this->recover(QuietLimit);
    Node *blocked = this->findLeaderNode();
    if (this->violated() || blocked == nullptr) {
        return;
    }
    blocked->inputBlockedUntil = this->now + InputBlockedTime;
    this->runFor(InputBlockedTime);
    if (const std::string after = this->leader(); !this->violated() && (after.empty() || after == blocked->member.vm)) {
        this->invariants.violated("a leader without input is replaced: " + blocked->member.vm + " still leads or nobody does");
    }
}

void Simulation::isolateFollower(const Fault &fault)
{
    this->recover(QuietLimit);
    Node &node = this->nodeAt(fault.member);
    const std::string before = this->leader();
    if (this->violated() || before == node.member.vm) {
        return;
    }
    const std::uint64_t term = this->core(before).hardState().term;
    node.outputBlockedUntil = node.inputBlockedUntil = this->now + fault.duration;
    this->runFor(fault.duration + std::chrono::seconds(2));
    if (!this->violated() && (this->leader() != before || this->core(before).hardState().term != term)) {
        this->invariants.violated("no needless election: " + node.member.vm + " returned and " + before + " lost term " + std::to_string(term));
    }
}

void Simulation::rollBackDisk(Node &node, milliseconds down)
{
    // A rolled-back disk is detected only while the other members answer, so no other fault is active meanwhile.
    this->endFaults();
    this->crash(node, down);
    node.lostMemory = node.disk.rollBack() || node.lostMemory;
    this->runFor(down + RollBackRepair);
}

void Simulation::changeMembers(const Fault &fault)
{
    Node *leaderNode = this->findLeaderNode();
    if (leaderNode == nullptr || !this->options.spare) {
        return;
    }
    const Member spare = *this->options.spare;
    const Membership &present = leaderNode->core->membership();
    std::vector<Member> next = present.all();
    if (!(present == Membership(this->options.members))) {
        next = this->options.members;
    } else if (next.size() > ShrunkSize && fault.member % 2 == 1) {
        std::rotate(next.begin(), next.begin() + fault.other % next.size(), next.end());
        next.resize(ShrunkSize);
    } else {
        next.erase(next.begin() + fault.other % next.size());
        next.push_back(spare);
    }
    std::uint64_t index = 0;
    leaderNode->core->changeMembers(Membership(next), index, this->localTime(*leaderNode));
    leaderNode->core->flush(this->localTime(*leaderNode));
    this->process(*leaderNode);
    if (this->nodes.count(spare.vm) == 0) {
        Node &node = this->nodes[spare.vm];
        node.member = spare;
        this->start(node);
    }
}

bool Simulation::isCut(const std::string &from, const std::string &to) const
{
    const auto sender = this->nodes.find(from);
    const auto receiver = this->nodes.find(to);
    const auto cut = this->cuts.find({from, to});
    return (sender != this->nodes.end() && this->now < sender->second.outputBlockedUntil)
        || (receiver != this->nodes.end() && this->now < receiver->second.inputBlockedUntil) || (cut != this->cuts.end() && this->now < cut->second);
}

void Simulation::crashLeaderAfterRepair()
{
    if (!this->crashAfterRepair) {
        return;
    }
    const bool allCount = std::all_of(
        this->nodes.begin(), this->nodes.end(), [](const auto &item) { return item.second.core != nullptr && item.second.core->standing() == Standing::Full; });
    if (Node *leaderNode = this->findLeaderNode(); allCount && leaderNode != nullptr) {
        this->crashAfterRepair = false;
        if (leaderNode->member.hasDisk || this->mayLoseMemory(*leaderNode)) {
            this->crash(*leaderNode, milliseconds(1500));
        }
    }
}

void Simulation::endFaults()
{
    this->cuts.clear();
    this->lossyUntil = milliseconds(0);
    this->crashAfterRepair = false;
    for (Node *node : this->allNodes()) {
        node->pausedUntil = node->outputBlockedUntil = node->inputBlockedUntil = milliseconds(0);
        node->downUntil = std::min(node->downUntil, this->now);
        node->diskFullUntil = milliseconds(0);
        node->crashBeforeSync = false;
    }
}

std::vector<Simulation::Node *> Simulation::allNodes()
{
    std::vector<Node *> list;
    for (auto &[vm, node] : this->nodes) {
        list.push_back(&node);
    }
    return list;
}

Simulation::Node &Simulation::nodeAt(std::uint32_t number)
{
    const std::vector<Node *> list = this->allNodes();
    return *list[number % list.size()];
}

Simulation::Node *Simulation::findLeaderNode()
{
    const std::string vm = this->leader();
    return vm.empty() ? nullptr : &this->nodes.at(vm);
}

} // namespace cranberryreel::replication
