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

constexpr std::chrono::milliseconds WatchEvery{500};
constexpr std::chrono::milliseconds JoinLimit{450};
/// A member without a link for so long gives its place to a VM that asks for one; cuts and restarts on the sheets end within seven seconds.
constexpr std::chrono::seconds LostAfter{8};

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

bool founds(const MemberOptions &options, const std::string &ownVm)
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
                      .mayFormAnew(founds(this->options, this->cell.ownVm))
                      .dataFolder(this->options.dataFolder)
                      .stateMachine(this->store)
                      .listener(this->scheduler)
                      .timings(this->options.timings)
                      .sendBy([this](const std::string &toVm, std::string bytes) { this->hub.send(toVm, link::Channel::CellGroup, std::move(bytes)); })
                      .build();
    this->scheduler.attach(*this->group);
    this->scheduler.leads = [this](std::uint64_t term) { this->tellAll(term); };
}

CellMember::~CellMember() = default;

void CellMember::start()
{
    this->scheduler.start();
    this->timers.start();
    this->group->start();
    this->timers.post([this] { this->watch(); });
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

std::string CellMember::zoneOf(const std::string &upstream) const
{
    return this->store.read([&upstream](const CellState &state) {
        const wire::UpstreamT *found = state.upstreamNamed(upstream);
        return found == nullptr ? std::string() : found->zone;
    });
}

/// Callers need not wait until they have found out that the leader before is dead.
void CellMember::tellAll(std::uint64_t term)
{
    this->caller.leaderTells(this->cell.ownVm, term);
    for (const link::PeerStatus &peer : this->hub.peers()) {
        if (peer.up) {
            this->hub.send(peer.vm, link::Channel::CellLead, std::to_string(term));
        }
    }
}

bool CellMember::leads() const
{
    return this->group->holdsLease(base::steadyNow());
}

bool CellMember::belongs() const
{
    const replication::GroupStatus status = this->group->status();
    return this->leads() || (status.caughtUp && !status.leaderVm.empty());
}

/// What a member knows of its group, and what any other VM has heard of it.
wire::ReplyT CellMember::lookUp() const
{
    wire::ReplyT reply = replyOf(base::ResultCode::Ok);
    if (!this->belongs()) {
        reply.leader = this->caller.leader();
        reply.members = this->caller.known();
        return reply;
    }
    const replication::GroupStatus status = this->group->status();
    reply.leader = this->leads() ? this->cell.ownVm : status.leaderVm;
    // A member that leads no more may still think that it does.
    if (reply.leader == this->cell.ownVm && !this->leads()) {
        reply.leader.clear();
    }
    reply.members = status.members;
    return reply;
}

void CellMember::call(const std::string &fromVm, wire::CallT call, Reply reply)
{
    if (call.kind == wire::CallKind::Lookup) {
        reply(this->lookUp());
    } else if (call.kind == wire::CallKind::Join) {
        this->joinAsked(fromVm, reply);
    } else {
        this->scheduler.call(std::move(call), [this, reply = std::move(reply)](wire::ReplyT answer) {
            if (static_cast<base::ResultCode>(answer.code) == base::ResultCode::NotLeader && answer.leader.empty() && !this->belongs()) {
                answer.leader = this->caller.leader();
            }
            reply(std::move(answer));
        });
    }
}

void CellMember::joinAsked(const std::string &vm, const Reply &reply)
{
    const replication::GroupStatus status = this->group->status();
    if (!this->leads()) {
        wire::ReplyT elsewhere = replyOf(base::ResultCode::NotLeader, "Another VM leads.");
        elsewhere.leader = status.leaderVm;
        reply(std::move(elsewhere));
        return;
    }
    if (std::find(status.members.begin(), status.members.end(), vm) != status.members.end()) {
        reply(replyOf(base::ResultCode::Ok));
        return;
    }
    std::string lost;
    if (status.members.size() >= this->options.voters) {
        const absl::MutexLock lock(&this->mutex);
        for (const auto &[member, since] : this->unseenSince) {
            lost = base::steadyNow() - since > LostAfter ? member : lost;
        }
        if (lost.empty()) {
            reply(replyOf(base::ResultCode::Ok, "The group has as many members as it needs."));
            return;
        }
    }
    std::vector<replication::Member> members{{vm, true, false}};
    for (const std::string &member : status.members) {
        if (member != lost) {
            members.push_back({member, true, false});
        }
    }
    Logger.info("event=member_joins vm={} in_place_of={} members={}", vm, lost, members.size());
    this->group->changeMembers(std::move(members), [reply, vm](const replication::ProposeResult &result) {
        Logger.info("event=member_joined vm={} outcome={}", vm, static_cast<int>(result.code));
        reply(replyOf(result.code));
    });
}

void CellMember::watch()
{
    for (const std::string &vm : this->group->status().members) {
        this->caller.addSeeds({vm});
    }
    this->joinIfOutside();
    this->watchMembers();
    this->timers.postAfter(WatchEvery, [this] { this->watch(); });
}

void CellMember::joinIfOutside()
{
    if (this->belongs() || founds(this->options, this->cell.ownVm)) {
        return;
    }
    wire::CallT join;
    join.kind = wire::CallKind::Join;
    this->caller.call(join, JoinLimit, JoinLimit, [](const CallOutcome &) {});
}

void CellMember::watchMembers()
{
    const base::SteadyTime now = base::steadyNow();
    const bool watches = this->leads();
    const std::vector<std::string> members = this->group->status().members;
    const absl::MutexLock lock(&this->mutex);
    std::map<std::string, base::SteadyTime> unseen;
    for (const std::string &vm : members) {
        if (watches && vm != this->cell.ownVm && !this->hub.isUp(vm)) {
            const auto before = this->unseenSince.find(vm);
            unseen[vm] = before == this->unseenSince.end() ? now : before->second;
        }
    }
    this->unseenSince = std::move(unseen);
}

} // namespace cranberryreel::cell
