#include "cell/CellCaller.h"

#include "cell/Codec.h"
#include "cell/RelayClock.h"
#include "observe/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// Pause after a round in which no VM answered as the leader. An election takes about a second.
constexpr std::chrono::milliseconds RoundPause{60};
constexpr std::chrono::milliseconds LookupInterval{1000};
constexpr std::chrono::milliseconds LookupLimit{900};
constexpr std::chrono::milliseconds LookupTryLimit{400};

std::string encodeLookup(const std::string &zone)
{
    wire::CallT lookup;
    lookup.kind = wire::CallKind::Lookup;
    lookup.zone = zone;
    lookup.clock_ms = RelayClock::ownReading().count();
    return pack<wire::Call>(lookup);
}

} // namespace

struct CellCaller::PendingCall {
    std::string payload; ///< Empty for a lookup, which states this VM's clock and so is encoded for each try.
    std::string lookupZone; ///< The zone that a lookup offers to relay for.
    base::SteadyTime deadline;
    std::chrono::milliseconds tryLimit{0};
    CallOutcomeCallback done;
    std::set<std::string> triedThisRound;
    std::string suggestedLeader; ///< The leader that the last reply named.
    std::string awaitedVm; ///< The VM whose reply is awaited; empty between tries.
    std::uint64_t tries = 0;
    bool mayHaveActed = false;
    bool isLookup = false; ///< A reply of any member completes the call.
    bool failsEarly = false; ///< Fails as soon as the group is known to be unable to serve it, which leaves a caller of the cell time to try another zone.
};

CellCaller::CellCaller(link::LinkHub &linkHub, std::uint16_t port, const std::vector<std::string> &seeds, std::chrono::milliseconds leaderless)
    : hub(linkHub)
    , linkPort(port)
    , leaderlessLimit(leaderless)
{
    this->setSeeds(seeds);
}

void CellCaller::setSeeds(const std::vector<std::string> &seeds)
{
    const absl::MutexLock lock(&this->mutex);
    this->vms.setSeeds(seeds);
    this->updatePeers();
}

void CellCaller::setLoggedMembers(const std::vector<std::string> &members)
{
    const absl::MutexLock lock(&this->mutex);
    this->vms.setLoggedMembers(members);
    this->updatePeers();
}

void CellCaller::addNamed(const std::string &vm)
{
    this->vms.addNamed(vm);
    this->updatePeers();
}

/// Dials exactly the known VMs.
void CellCaller::updatePeers()
{
    const std::vector<std::string> all = this->vms.all();
    const std::set<std::string> known(all.begin(), all.end());
    for (const std::string &vm : known) {
        if (this->dialedVms.count(vm) == 0) {
            this->hub.addPeer(vm, fmt::format("{}:{}", vm, this->linkPort));
        }
    }
    for (const std::string &vm : this->dialedVms) {
        if (known.count(vm) == 0) {
            Logger.info("event=vm_forgotten vm={}", vm);
            this->hub.stopDialing(vm);
        }
    }
    this->dialedVms = known;
}

void CellCaller::start()
{
    this->timers.start();
}

void CellCaller::stop()
{
    this->timers.stop();
}

void CellCaller::call(const wire::CallT &call, std::chrono::milliseconds limit, std::chrono::milliseconds tryLimit, CallOutcomeCallback done)
{
    auto pending = std::make_shared<PendingCall>();
    pending->deadline = base::steadyNow() + limit;
    pending->tryLimit = tryLimit;
    pending->done = std::move(done);
    pending->isLookup = call.kind == wire::CallKind::Lookup;
    if (pending->isLookup) {
        pending->lookupZone = call.zone;
    } else {
        pending->payload = pack<wire::Call>(call);
    }
    pending->failsEarly = call.kind != wire::CallKind::Lookup && call.kind != wire::CallKind::Join;
    this->timers.post([this, pending] {
        this->pendingCalls.insert(pending);
        this->tryNext(pending);
    });
}

void CellCaller::leaderAnnounced(const std::string &vm, std::uint64_t term)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (term <= this->leaderTerm) {
            return;
        }
        this->leaderTerm = term;
        this->leaderVm = vm;
        this->leaderAnsweredAt = base::steadyNow();
        this->addNamed(vm);
    }
    Logger.info("event=leader_announced vm={} term={}", vm, term);
    this->timers.post([this, vm] { this->redirectTo(vm); });
}

/// Load pattern: the leader crashes, and hundreds of calls still wait for its reply while another VM already leads.
void CellCaller::redirectTo(const std::string &vm)
{
    const std::vector<std::shared_ptr<PendingCall>> waiting(this->pendingCalls.begin(), this->pendingCalls.end());
    for (const std::shared_ptr<PendingCall> &pending : waiting) {
        if (pending->isLookup || pending->awaitedVm.empty() || pending->awaitedVm == vm) {
            continue;
        }
        pending->mayHaveActed = true;
        pending->suggestedLeader = vm;
        pending->triedThisRound.erase(vm);
        this->tryNext(pending);
    }
}

std::string CellCaller::chooseVm(PendingCall &pending)
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> order{std::exchange(pending.suggestedLeader, {}), this->leaderVm};
    const std::vector<std::string> known = this->vms.all();
    order.insert(order.end(), known.begin(), known.end());
    for (const std::string &vm : order) {
        if (!vm.empty() && pending.triedThisRound.count(vm) == 0 && this->hub.isUp(vm)) {
            return vm;
        }
    }
    return {};
}

void CellCaller::tryNext(const std::shared_ptr<PendingCall> &pending)
{
    const base::SteadyTime now = base::steadyNow();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(pending->deadline - now);
    if (left.count() <= 0 || (pending->failsEarly && this->isCutOff())) {
        this->finish(pending, {false, pending->mayHaveActed, {}});
        return;
    }
    const std::string vm = this->chooseVm(*pending);
    const std::uint64_t number = ++pending->tries;
    pending->awaitedVm = vm;
    if (vm.empty()) {
        if (pending->triedThisRound.empty()) {
            this->unlinkedAt = now;
        } else if (pending->failsEarly && this->isLongLeaderless()) {
            this->finish(pending, {false, pending->mayHaveActed, {}});
            return;
        }
        pending->triedThisRound.clear();
        this->timers.postAfter(std::min(left, RoundPause), [this, pending] { this->tryNext(pending); });
        return;
    }
    pending->triedThisRound.insert(vm);
    const std::string payload = pending->isLookup ? encodeLookup(pending->lookupZone) : pending->payload;
    this->hub.call(vm, link::Channel::Cell, payload, std::min(left, pending->tryLimit), {}, [this, pending, vm, number](link::CallResult result) {
        this->timers.post([this, pending, vm, number, result = std::move(result)] { this->handleTryResult(pending, vm, number, result); });
    });
}

void CellCaller::handleTryResult(const std::shared_ptr<PendingCall> &pending, const std::string &vm, std::uint64_t number, const link::CallResult &result)
{
    if (number != pending->tries) {
        return; // The call was redirected to another VM, and mayHaveActed already covers this one.
    }
    if (result.code != base::ResultCode::Ok) {
        pending->mayHaveActed = pending->mayHaveActed || result.sent;
        this->tryNext(pending);
        return;
    }
    std::optional<wire::ReplyT> reply = unpack<wire::Reply>(result.payload);
    if (!reply) {
        Logger.warn("event=reply_unreadable vm={} bytes={}", vm, result.payload.size());
        pending->mayHaveActed = true;
        this->tryNext(pending);
        return;
    }
    const auto code = static_cast<base::ResultCode>(reply->code);
    this->learnFromReply(vm, *reply);
    if (code == base::ResultCode::NotLeader) {
        if (!reply->leader.empty() && reply->leader != vm) {
            pending->suggestedLeader = reply->leader;
            const absl::MutexLock lock(&this->mutex);
            this->addNamed(reply->leader);
        }
        this->tryNext(pending);
        return;
    }
    if (code == base::ResultCode::GroupUnavailable) {
        pending->mayHaveActed = true;
        this->tryNext(pending);
        return;
    }
    this->finish(pending, {true, pending->mayHaveActed, std::move(*reply)});
}

void CellCaller::learnFromReply(const std::string &vm, const wire::ReplyT &reply)
{
    const absl::MutexLock lock(&this->mutex);
    const auto code = static_cast<base::ResultCode>(reply.code);
    if (code == base::ResultCode::NotLeader || code == base::ResultCode::GroupUnavailable) {
        if (this->leaderVm == vm) {
            this->leaderVm.clear();
        }
        return;
    }
    // Members that do not lead answer only lookups, and name the leader in the reply.
    const bool fromLeader = reply.members.empty() || reply.leader == vm;
    if (fromLeader) {
        this->leaderVm = vm;
        this->leaderAnsweredAt = base::steadyNow();
        if (!reply.members.empty()) {
            this->vms.setMembers(reply.members);
            this->updatePeers();
        }
        return;
    }
    // The VMs that another VM names may have been replaced since.
    for (const std::string &member : reply.members) {
        this->addNamed(member);
    }
    if (!reply.leader.empty()) {
        this->leaderVm = reply.leader;
        this->addNamed(reply.leader);
    } else if (this->leaderVm == vm) {
        this->leaderVm.clear();
    }
}

void CellCaller::finish(const std::shared_ptr<PendingCall> &pending, CallOutcome outcome)
{
    this->pendingCalls.erase(pending);
    if (const CallOutcomeCallback done = std::exchange(pending->done, nullptr)) {
        done(std::move(outcome));
    }
}

void CellCaller::startLookups(const std::string &relayZone)
{
    wire::CallT lookup;
    lookup.kind = wire::CallKind::Lookup;
    lookup.zone = relayZone;
    this->call(lookup, LookupLimit, LookupTryLimit, [this, relayZone](const CallOutcome &) {
        this->timers.postAfter(LookupInterval, [this, relayZone] { this->startLookups(relayZone); });
    });
}

bool CellCaller::isLongLeaderless() const
{
    const absl::MutexLock lock(&this->mutex);
    return base::steadyNow() - std::max(this->leaderAnsweredAt, this->unlinkedAt) > this->leaderlessLimit;
}

bool CellCaller::heardLeaderWithin(std::chrono::milliseconds age) const
{
    const absl::MutexLock lock(&this->mutex);
    return this->leaderAnsweredAt != base::SteadyTime() && base::steadyNow() - this->leaderAnsweredAt <= age;
}

bool CellCaller::isCutOff() const
{
    std::vector<std::string> voters;
    {
        const absl::MutexLock lock(&this->mutex);
        voters = this->vms.voters();
    }
    const auto isUp = [this](const std::string &vm) { return this->hub.isUp(vm); };
    const auto up = std::count_if(voters.begin(), voters.end(), isUp);
    if (2 * static_cast<std::size_t>(up) >= voters.size()) {
        return false;
    }
    const std::vector<std::string> all = this->knownVms();
    return std::any_of(all.begin(), all.end(), isUp);
}

std::vector<std::string> CellCaller::knownVms() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->vms.all();
}

std::string CellCaller::leader() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->leaderVm;
}

} // namespace cranberryreel::cell
