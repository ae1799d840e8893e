#include "cell/CellCaller.h"

#include "cell/Codec.h"
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

/// After a round in which no VM was the leader; an election takes about a second.
constexpr std::chrono::milliseconds RoundPause{60};
constexpr std::chrono::milliseconds LookUpEvery{1000};
constexpr std::chrono::milliseconds LookUpLimit{900};
constexpr std::chrono::milliseconds LookUpTry{400};

} // namespace

struct CellCaller::Attempt {
    std::string payload;
    base::SteadyTime deadline;
    std::chrono::milliseconds tryLimit{0};
    CallDone done;
    std::set<std::string> triedThisRound;
    std::string hinted; ///< The leader that the last answer named.
    std::string asked; ///< The VM whose answer is waited for; empty between tries.
    std::uint64_t tries = 0;
    bool mayHaveActed = false;
    bool lookUp = false; ///< Any member's answer will do.
};

CellCaller::CellCaller(link::LinkHub &linkHub, std::uint16_t port, const std::vector<std::string> &seeds)
    : hub(linkHub)
    , linkPort(port)
{
    this->addSeeds(seeds);
}

void CellCaller::addSeeds(const std::vector<std::string> &seeds)
{
    const absl::MutexLock lock(&this->mutex);
    for (const std::string &vm : seeds) {
        this->addPeer(vm);
    }
}

void CellCaller::addPeer(const std::string &vm)
{
    if (std::find(this->vms.begin(), this->vms.end(), vm) == this->vms.end()) {
        this->vms.push_back(vm);
        this->hub.addPeer(vm, fmt::format("{}:{}", vm, this->linkPort));
    }
}

void CellCaller::start()
{
    this->timers.start();
}

void CellCaller::stop()
{
    this->timers.stop();
}

void CellCaller::call(const wire::CallT &call, std::chrono::milliseconds limit, std::chrono::milliseconds tryLimit, CallDone done)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->payload = pack<wire::Call>(call);
    attempt->deadline = base::steadyNow() + limit;
    attempt->tryLimit = tryLimit;
    attempt->done = std::move(done);
    attempt->lookUp = call.kind == wire::CallKind::Lookup;
    this->timers.post([this, attempt] {
        this->open.insert(attempt);
        this->next(attempt);
    });
}

void CellCaller::leaderTells(const std::string &vm, std::uint64_t term)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (term <= this->leaderTerm) {
            return;
        }
        this->leaderTerm = term;
        this->leaderVm = vm;
        this->leaderHeard = base::steadyNow();
        this->addPeer(vm);
    }
    Logger.info("event=leader_told vm={} term={}", vm, term);
    this->timers.post([this, vm] { this->turnTo(vm); });
}

/// Load pattern: the leader dies without a word, and hundreds of calls wait for its answer while another leads already.
void CellCaller::turnTo(const std::string &vm)
{
    const std::vector<std::shared_ptr<Attempt>> waiting(this->open.begin(), this->open.end());
    for (const std::shared_ptr<Attempt> &attempt : waiting) {
        if (attempt->lookUp || attempt->asked.empty() || attempt->asked == vm) {
            continue;
        }
        attempt->mayHaveActed = true;
        attempt->hinted = vm;
        attempt->triedThisRound.erase(vm);
        this->next(attempt);
    }
}

std::string CellCaller::pick(Attempt &attempt)
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> order{std::exchange(attempt.hinted, {}), this->leaderVm};
    order.insert(order.end(), this->vms.begin(), this->vms.end());
    for (const std::string &vm : order) {
        if (!vm.empty() && attempt.triedThisRound.count(vm) == 0 && this->hub.isUp(vm)) {
            return vm;
        }
    }
    return {};
}

void CellCaller::next(const std::shared_ptr<Attempt> &attempt)
{
    const base::SteadyTime now = base::steadyNow();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(attempt->deadline - now);
    // A refusal now lets the caller turn to another zone while it still has time.
    if (left.count() <= 0 || (!attempt->lookUp && this->cutOff())) {
        this->finish(attempt, {false, attempt->mayHaveActed, {}});
        return;
    }
    const std::string vm = this->pick(*attempt);
    const std::uint64_t number = ++attempt->tries;
    attempt->asked = vm;
    if (vm.empty()) {
        attempt->triedThisRound.clear();
        this->timers.postAfter(std::min(left, RoundPause), [this, attempt] { this->next(attempt); });
        return;
    }
    attempt->triedThisRound.insert(vm);
    this->hub.call(vm, link::Channel::Cell, attempt->payload, std::min(left, attempt->tryLimit), {}, [this, attempt, vm, number](link::CallResult result) {
        this->timers.post([this, attempt, vm, number, result = std::move(result)] { this->tried(attempt, vm, number, result); });
    });
}

void CellCaller::tried(const std::shared_ptr<Attempt> &attempt, const std::string &vm, std::uint64_t number, const link::CallResult &result)
{
    if (number != attempt->tries) {
        return; // The call has turned to another VM, and whatever this one did is counted as possible.
    }
    if (result.code != base::ResultCode::Ok) {
        attempt->mayHaveActed = attempt->mayHaveActed || result.sent;
        this->next(attempt);
        return;
    }
    std::optional<wire::ReplyT> reply = unpack<wire::Reply>(result.payload);
    if (!reply) {
        Logger.warn("event=reply_unreadable vm={} bytes={}", vm, result.payload.size());
        attempt->mayHaveActed = true;
        this->next(attempt);
        return;
    }
    const auto code = static_cast<base::ResultCode>(reply->code);
    this->learn(vm, *reply);
    if (code == base::ResultCode::NotLeader) {
        if (!reply->leader.empty() && reply->leader != vm) {
            attempt->hinted = reply->leader;
            const absl::MutexLock lock(&this->mutex);
            this->addPeer(reply->leader);
        }
        this->next(attempt);
        return;
    }
    if (code == base::ResultCode::GroupUnavailable) {
        attempt->mayHaveActed = true;
        this->next(attempt);
        return;
    }
    this->finish(attempt, {true, attempt->mayHaveActed, std::move(*reply)});
}

void CellCaller::learn(const std::string &vm, const wire::ReplyT &reply)
{
    const absl::MutexLock lock(&this->mutex);
    const auto code = static_cast<base::ResultCode>(reply.code);
    for (const std::string &member : reply.members) {
        this->addPeer(member);
    }
    if (code == base::ResultCode::NotLeader || code == base::ResultCode::GroupUnavailable) {
        if (this->leaderVm == vm) {
            this->leaderVm.clear();
        }
        return;
    }
    // Only look-ups are answered by members that do not lead, and then name the leader.
    const bool fromLeader = reply.members.empty() || reply.leader == vm;
    if (fromLeader) {
        this->leaderVm = vm;
        this->leaderHeard = base::steadyNow();
    } else if (!reply.leader.empty()) {
        this->leaderVm = reply.leader;
        this->addPeer(reply.leader);
    }
}

void CellCaller::finish(const std::shared_ptr<Attempt> &attempt, CallOutcome outcome)
{
    this->open.erase(attempt);
    if (const CallDone done = std::exchange(attempt->done, nullptr)) {
        done(std::move(outcome));
    }
}

void CellCaller::keepLookingUp(const std::string &relayZone)
{
    wire::CallT look;
    look.kind = wire::CallKind::Lookup;
    look.zone = relayZone;
    this->call(look, LookUpLimit, LookUpTry, [this, relayZone](const CallOutcome &) {
        this->timers.postAfter(LookUpEvery, [this, relayZone] { this->keepLookingUp(relayZone); });
    });
}

bool CellCaller::inTouch(std::chrono::milliseconds age) const
{
    const absl::MutexLock lock(&this->mutex);
    return this->leaderHeard != base::SteadyTime() && base::steadyNow() - this->leaderHeard <= age;
}

bool CellCaller::cutOff() const
{
    const std::vector<std::string> all = this->known();
    const auto up = std::count_if(all.begin(), all.end(), [this](const std::string &vm) { return this->hub.isUp(vm); });
    return up > 0 && 2 * static_cast<std::size_t>(up) < all.size();
}

std::vector<std::string> CellCaller::known() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->vms;
}

std::string CellCaller::leader() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->leaderVm;
}

} // namespace cranberryreel::cell
