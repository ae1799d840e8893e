#include "cell/CellMember.h"

#include "observe/Log.h"
#include "replication/GroupBuilder.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

constexpr std::chrono::milliseconds CheckInterval{500};
constexpr std::chrono::milliseconds JoinLimit{450};
/// A member without a link for this long is replaced by a VM that asks to join. Expected network cuts and restarts end within seven seconds.
constexpr std::chrono::seconds ReplaceAfter{8};

std::vector<replication::Member> foundingMembers(const MemberOptions &options, const std::string &ownVm)
{
    std::vector<replication::Member> members;
    for (const std::string &vm : options.seeds) {
        members.push_back({vm, true, false});
    }
    if (std::find(options.seeds.begin(), options.seeds.end(), ownVm) == options.seeds.end()) {
        members.push_back({ownVm, true, false});
    }
    return members;
}

bool isFoundingVm(const MemberOptions &options, const std::string &ownVm)
{
    return options.firstStart && std::find(options.seeds.begin(), options.seeds.end(), ownVm) != options.seeds.end();
}

} // namespace

CellMember::CellMember(
    MemberOptions memberOptions, CellOptions cellOptions, link::LinkHub &linkHub, CellCaller &cellCaller, UpstreamCalls &calls, AdviceDispatcher &advice)
    : options(std::move(memberOptions))
    , cell(std::move(cellOptions))
    , hub(linkHub)
    , caller(cellCaller)
    , scheduler(cell, store, calls, advice)
{
    this->group = replication::GroupBuilder()
                      .ownVm(this->cell.ownVm)
                      .members(foundingMembers(this->options, this->cell.ownVm))
                      .mayFormAnew(isFoundingVm(this->options, this->cell.ownVm))
                      .dataFolder(this->options.dataFolder)
                      .stateMachine(this->store)
                      .listener(this->scheduler)
                      .timings(this->options.timings)
                      .sendBy([this](const std::string &toVm, std::string bytes) { this->hub.send(toVm, link::Channel::CellGroup, std::move(bytes)); })
                      .build();
    this->scheduler.attach(*this->group);
    this->scheduler.onLeadershipAcquired = [this](std::uint64_t term) { this->announceLeadership(term); };
}

CellMember::~CellMember() = default;

void CellMember::start()
{
    this->scheduler.start();
    this->timers.start();
    this->group->start();
    this->timers.post([this] { this->checkMembership(); });
}

void CellMember::stop(std::chrono::milliseconds limit)
{
    this->timers.stop();
    this->group->stop(limit);
    this->scheduler.stop();
}

void CellMember::receive(const std::string &fromVm, std::string bytes)
{
    this->group->receive(fromVm, std::move(bytes));
}

std::string CellMember::zoneOfUpstream(const std::string &upstream) const
{
    return this->store.read([&upstream](const CellState &state) {
        const wire::UpstreamT *found = state.upstreamNamed(upstream);
        return found == nullptr ? std::string() : found->zone;
    });
}

/// Lets callers redirect their calls before they detect that the previous leader is down.
void CellMember::announceLeadership(std::uint64_t term)
{
    this->caller.leaderAnnounced(this->cell.ownVm, term);
    for (const link::PeerStatus &peer : this->hub.peers()) {
        if (peer.up) {
            this->hub.send(peer.vm, link::Channel::CellLead, std::to_string(term));
        }
    }
}

bool CellMember::holdsLease() const
{
    return this->group->holdsLease(base::steadyNow());
}

bool CellMember::isInGroup() const
{
    const replication::GroupStatus status = this->group->status();
    return this->holdsLease() || (status.caughtUp && !status.leaderVm.empty());
}

/// Answers from the group status if this VM is in the group, otherwise from what its CellCaller has learned.
wire::ReplyT CellMember::answerLookup() const
{
    wire::ReplyT reply = makeReply(base::ResultCode::Ok);
    if (!this->isInGroup()) {
        reply.leader = this->caller.leader();
        reply.members = this->caller.knownVms();
        return reply;
    }
    const replication::GroupStatus status = this->group->status();
    reply.leader = this->holdsLease() ? this->cell.ownVm : status.leaderVm;
    // The group status may still name this VM after its lease has expired.
    if (reply.leader == this->cell.ownVm && !this->holdsLease()) {
        reply.leader.clear();
    }
    reply.members = status.members;
    return reply;
}

void CellMember::call(const std::string &fromVm, wire::CallT call, ReplyCallback reply)
{
    if (call.kind == wire::CallKind::Lookup) {
        reply(this->answerLookup());
    } else if (call.kind == wire::CallKind::Join) {
        this->handleJoin(fromVm, reply);
    } else {
        this->scheduler.call(std::move(call), [this, reply = std::move(reply)](wire::ReplyT answer) {
            if (static_cast<base::ResultCode>(answer.code) == base::ResultCode::NotLeader && answer.leader.empty() && !this->isInGroup()) {
                answer.leader = this->caller.leader();
            }
            reply(std::move(answer));
        });
    }
}

void CellMember::handleJoin(const std::string &vm, const ReplyCallback &reply)
{
    const replication::GroupStatus status = this->group->status();
    if (!this->holdsLease()) {
        wire::ReplyT redirect = makeReply(base::ResultCode::NotLeader, "Another VM leads.");
        redirect.leader = status.leaderVm;
        reply(std::move(redirect));
        return;
    }
    if (std::find(status.members.begin(), status.members.end(), vm) != status.members.end()) {
        reply(makeReply(base::ResultCode::Ok));
        return;
    }
    std::string replaced;
    if (status.members.size() >= this->options.maxMembers) {
        const absl::MutexLock lock(&this->mutex);
        for (const auto &[member, since] : this->unlinkedSince) {
            replaced = base::steadyNow() - since > ReplaceAfter ? member : replaced;
        }
        if (replaced.empty()) {
            reply(makeReply(base::ResultCode::Ok, "The group already has as many members as it needs."));
            return;
        }
    }
    std::vector<replication::Member> members{{vm, true, false}};
    for (const std::string &member : status.members) {
        if (member != replaced) {
            members.push_back({member, true, false});
        }
    }
    Logger.info("event=member_join_requested vm={} in_place_of={} members={}", vm, replaced, members.size());
    this->group->changeMembers(std::move(members), [reply, vm](const replication::ProposeResult &result) {
        Logger.info("event=member_join_finished vm={} outcome={}", vm, static_cast<int>(result.code));
        reply(makeReply(result.code));
    });
}

void CellMember::checkMembership()
{
    const replication::GroupStatus status = this->group->status();
    this->caller.addSeeds(status.members);
    this->voterWatch.update(status);
    this->joinIfNotMember();
    this->recordUnlinkedMembers();
    this->timers.postAfter(CheckInterval, [this] { this->checkMembership(); });
}

void CellMember::joinIfNotMember()
{
    if (this->isInGroup() || isFoundingVm(this->options, this->cell.ownVm)) {
        return;
    }
    wire::CallT join;
    join.kind = wire::CallKind::Join;
    this->caller.call(join, JoinLimit, JoinLimit, [](const CallOutcome &) {});
}

void CellMember::recordUnlinkedMembers()
{
    const base::SteadyTime now = base::steadyNow();
    const bool isLeader = this->holdsLease();
    const std::vector<std::string> members = this->group->status().members;
    const absl::MutexLock lock(&this->mutex);
    std::map<std::string, base::SteadyTime> unlinked;
    for (const std::string &vm : members) {
        if (isLeader && vm != this->cell.ownVm && !this->hub.isUp(vm)) {
            const auto before = this->unlinkedSince.find(vm);
            unlinked[vm] = before == this->unlinkedSince.end() ? now : before->second;
        }
    }
    this->unlinkedSince = std::move(unlinked);
}

} // namespace cranberryreel::cell
