#include "cell/AdviceDispatcher.h"

#include "cell/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

/// VMs that slow queries leave free: quick queries come in bursts of nearly twice the usual rate.
constexpr std::size_t VmsReservedForQuick = 4;
/// Prefetch queries leave the linked VMs divided by this number free, and at least VmsReservedForQuick.
constexpr std::size_t PrefetchReserveDivisor = 3;
/// A VM whose query failed gets no further query for this time.
constexpr std::chrono::milliseconds ExclusionAfterFailure{1000};
/// Added to a query's time limit for the peer call to the VM that sends the query.
constexpr std::chrono::milliseconds LinkDelayAllowance{200};

} // namespace

AdviceDispatcher::AdviceDispatcher(std::string ownVmName, link::LinkHub &linkHub, AdviceCalls &ownCalls)
    : ownVm(std::move(ownVmName))
    , hub(linkHub)
    , calls(ownCalls)
{
}

std::vector<std::string> AdviceDispatcher::freeVms(std::size_t &linkedVms) const
{
    linkedVms = 1;
    const base::SteadyTime now = base::steadyNow();
    std::vector<std::string> free;
    const auto consider = [&](const std::string &vm) {
        const auto found = this->vmStates.find(vm);
        if (found == this->vmStates.end() || (!found->second.busy && found->second.excludedUntil <= now)) {
            free.push_back(vm);
        }
    };
    for (const link::PeerStatus &peer : this->hub.peers()) {
        if (peer.up) {
            ++linkedVms;
            consider(peer.vm);
        }
    }
    consider(this->ownVm);
    return free;
}

bool AdviceDispatcher::tryQuery(
    QueryClass queryClass, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done)
{
    std::string vm;
    {
        const absl::MutexLock lock(&this->mutex);
        std::size_t linkedVms = 0;
        const std::vector<std::string> free = this->freeVms(linkedVms);
        const std::size_t reservedVms = queryClass == QueryClass::Quick
            ? 0
            : (queryClass == QueryClass::Slow ? VmsReservedForQuick : std::max(linkedVms / PrefetchReserveDivisor, VmsReservedForQuick));
        if (free.size() <= reservedVms) {
            return false;
        }
        vm = free[this->nextVm++ % free.size()];
        this->vmStates[vm].busy = true;
    }
    this->sendQuery(vm, step, upstreams, limit, std::move(done));
    return true;
}

void AdviceDispatcher::sendQuery(
    const std::string &vm, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done)
{
    if (vm == this->ownVm) {
        this->calls.query(step, upstreams, limit, [this, vm, done = std::move(done)](AdviceResult result) {
            this->finishQuery(vm, result.answered);
            done(std::move(result));
        });
        return;
    }
    wire::CallT call;
    call.kind = wire::CallKind::Advise;
    call.advice = std::make_unique<wire::AdviceOrderT>();
    call.advice->step = step;
    call.advice->upstreams = upstreams;
    call.advice->limit_ms = static_cast<std::uint32_t>(limit.count());
    this->hub.call(
        vm, link::Channel::Cell, pack<wire::Call>(call), limit + LinkDelayAllowance, {}, [this, vm, done = std::move(done)](const link::CallResult &answer) {
            AdviceResult result;
            if (const auto reply = answer.code == base::ResultCode::Ok ? unpack<wire::Reply>(answer.payload) : std::nullopt) {
                result.answered = reply->code == static_cast<int>(base::ResultCode::Ok);
                result.busy = reply->code == static_cast<int>(base::ResultCode::QueueFull);
                result.detail = reply->reason;
                for (const auto &ticket : reply->tickets) {
                    result.tickets.emplace_back(ticket->upstream, ticket->ticket);
                }
            } else {
                result.detail = "the VM that was to send the advice query did not answer";
            }
            this->finishQuery(vm, result.answered);
            done(std::move(result));
        });
}

void AdviceDispatcher::finishQuery(const std::string &vm, bool answered)
{
    const absl::MutexLock lock(&this->mutex);
    VmState &state = this->vmStates[vm];
    state.busy = false;
    if (!answered) {
        state.excludedUntil = base::steadyNow() + ExclusionAfterFailure;
    }
}

} // namespace cranberryreel::cell
