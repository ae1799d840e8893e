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
/// A member without a link for so long is taken out while all others are there; cuts on the sheets end within seven seconds.
constexpr std::chrono::seconds LostAfter{15};
/// Fewer members than that are never left by taking one out.
constexpr std::size_t LeastMembers = 3;

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
    MemberOptions memberOptions, CellOptions cellOptions, link::LinkHub &linkHub, CellCaller &cellCaller, UpstreamCalls &calls, AdvicePool &advice)
    : options(std::move(memberOptions))
    , cell(cellOptions)
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

bool CellMember::leads() const
{
    return this->group->holdsLease(base::steadyNow());
}

wire::ReplyT CellMember::lookUp() const
{
    const replication::GroupStatus status = this->group->status();
    wire::ReplyT reply = replyOf(base::ResultCode::Ok);
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
        this->scheduler.call(std::move(call), std::move(reply));
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
    std::vector<replication::Member> members{{vm, true, false}};
    for (const std::string &member : status.members) {
        members.push_back({member, true, false});
    }
    Logger.info("event=member_joins vm={} members={}", vm, members.size());
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
    if (this->leads()) {
        this->replaceLost();
    } else {
        this->unseenSince.clear();
    }
    this->timers.postAfter(WatchEvery, [this] { this->watch(); });
}

void CellMember::joinIfOutside()
{
    const replication::GroupStatus status = this->group->status();
    const bool follows = status.caughtUp && !status.leaderVm.empty();
    if (this->leads() || follows || founds(this->options, this->cell.ownVm)) {
        return;
    }
    wire::CallT join;
    join.kind = wire::CallKind::Join;
    this->caller.call(join, JoinLimit, JoinLimit, [](const CallOutcome &) {});
}

void CellMember::replaceLost()
{
    const base::SteadyTime now = base::steadyNow();
    const std::vector<std::string> members = this->group->status().members;
    std::vector<std::string> unseen;
    for (const std::string &vm : members) {
        if (vm == this->cell.ownVm || this->hub.isUp(vm)) {
            this->unseenSince.erase(vm);
        } else if (const base::SteadyTime since = this->unseenSince.try_emplace(vm, now).first->second; now - since > LostAfter) {
            unseen.push_back(vm);
        }
    }
    if (unseen.empty() || members.size() <= LeastMembers || this->unseenSince.size() > unseen.size()) {
        return;
    }
    std::vector<replication::Member> kept;
    for (const std::string &vm : members) {
        if (vm != unseen.front()) {
            kept.push_back({vm, true, false});
        }
    }
    Logger.info("event=member_taken_out vm={} members={}", unseen.front(), kept.size());
    this->group->changeMembers(std::move(kept), [vm = unseen.front()](const replication::ProposeResult &result) {
        Logger.info("event=member_out vm={} outcome={}", vm, static_cast<int>(result.code));
    });
}

} // namespace cranberryreel::cell
