#include "cell/CellMember.h"

#include "observe/Log.h"
#include "replication/GroupBuilder.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

constexpr std::chrono::milliseconds CheckInterval{250};
constexpr std::chrono::milliseconds JoinLimit{240};

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
    , keeper(options.membership)
{
    this->group = replication::GroupBuilder()
                      .ownVm(this->cell.ownVm)
                      .members(foundingMembers(this->options, this->cell.ownVm))
                      .mayFormAnew(isFoundingVm(this->options, this->cell.ownVm))
                      .formsOnlyOnce(true)
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
    if (this->isInGroup()) {
        const replication::GroupStatus status = this->group->status();
        reply.leader = this->holdsLease() ? this->cell.ownVm : status.leaderVm;
        reply.members = status.members;
    } else {
        reply.leader = this->caller.leader();
        reply.members = this->caller.knownVms();
    }
    // The group status and the caller may still name this VM after its lease has expired.
    if (reply.leader == this->cell.ownVm && !this->holdsLease()) {
        reply.leader.clear();
    }
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
    if (!this->holdsLease()) {
        wire::ReplyT redirect = makeReply(base::ResultCode::NotLeader, "Another VM leads.");
        redirect.leader = this->group->status().leaderVm;
        reply(std::move(redirect));
        return;
    }
    {
        const absl::MutexLock lock(&this->mutex);
        this->keeper.recordRequest(vm, base::steadyNow());
    }
    reply(makeReply(base::ResultCode::Ok));
}

void CellMember::checkMembership()
{
    const replication::GroupStatus status = this->group->status();
    this->caller.setLoggedMembers(status.members);
    this->voterWatch.update(status);
    this->requestStandby(status);
    this->keepGroup(status);
    this->timers.postAfter(CheckInterval, [this] { this->checkMembership(); });
}

/// A founding VM asks as well: it may lose its place while it is cut off.
void CellMember::requestStandby(const replication::GroupStatus &status)
{
    const bool isMember = std::find(status.members.begin(), status.members.end(), this->cell.ownVm) != status.members.end();
    if (isMember && this->isInGroup()) {
        return;
    }
    wire::CallT join;
    join.kind = wire::CallKind::Join;
    this->caller.call(join, JoinLimit, JoinLimit, [](const CallOutcome &) {});
}

void CellMember::keepGroup(const replication::GroupStatus &status)
{
    if (!this->holdsLease()) {
        return;
    }
    GroupKeeper::Plan plan;
    {
        const absl::MutexLock lock(&this->mutex);
        plan = this->keeper.plan(status, base::steadyNow());
    }
    this->group->setStandbys(plan.standbys);
    if (plan.members) {
        this->changeMembers(plan);
    }
}

void CellMember::changeMembers(const GroupKeeper::Plan &plan)
{
    std::vector<replication::Member> members;
    for (const std::string &vm : *plan.members) {
        members.push_back({vm, true, false});
    }
    const std::string listed = absl::StrJoin(*plan.members, ",");
    Logger.info("event=members_change_proposed members={} lost={}", listed, absl::StrJoin(plan.lost, ","));
    this->group->changeMembers(std::move(members), [listed](const replication::ProposeResult &result) {
        Logger.info("event=members_change_finished members={} outcome={}", listed, static_cast<int>(result.code));
    });
}

} // namespace cranberryreel::cell
