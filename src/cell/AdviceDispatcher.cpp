#include "cell/AdviceDispatcher.h"

#include "cell/Codec.h"
#include "observe/Log.h"

#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// A VM whose query failed gets no further query for this time.
constexpr std::chrono::milliseconds ExclusionAfterFailure{1000};
/// Added to a query's time limit for the peer call to the VM that sends the query.
constexpr std::chrono::milliseconds LinkDelayAllowance{200};
/// Refusals are logged once they have lasted this long, and at this interval.
constexpr std::chrono::milliseconds RefusalLogInterval{1000};

const char *className(AdviceQueryClass queryClass)
{
    switch (queryClass) {
    case AdviceQueryClass::Quick:
        return "quick";
    case AdviceQueryClass::Slow:
        return "slow";
    case AdviceQueryClass::Prefetch:
        return "prefetch";
    }
    return "unknown";
}

} // namespace

AdviceDispatcher::AdviceDispatcher(std::string ownVmName, link::LinkHub &linkHub, AdviceCalls &ownCalls)
    : ownVm(std::move(ownVmName))
    , hub(linkHub)
    , calls(ownCalls)
{
}

AdviceDispatcher::UsableVms AdviceDispatcher::usableVms(base::SteadyTime now) const
{
    UsableVms vms;
    const auto consider = [&](const std::string &vm) {
        const auto found = this->vmStates.find(vm);
        const bool busy = found != this->vmStates.end() && found->second.busy;
        if (!busy && found != this->vmStates.end() && found->second.excludedUntil > now) {
            return;
        }
        ++vms.count;
        if (!busy) {
            vms.free.push_back(vm);
        }
    };
    for (const link::PeerStatus &peer : this->hub.peers()) {
        if (peer.up) {
            consider(peer.vm);
        }
    }
    consider(this->ownVm);
    return vms;
}

bool AdviceDispatcher::tryQuery(
    AdviceQueryClass queryClass, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done)
{
    std::string vm;
    {
        const absl::MutexLock lock(&this->mutex);
        const base::SteadyTime now = base::steadyNow();
        const UsableVms vms = this->usableVms(now);
        if (!this->reserve.admit(queryClass, vms.free.size(), vms.count, now)) {
            this->logRefusal(queryClass, vms, now);
            return false;
        }
        vm = vms.free[this->nextVm++ % vms.free.size()];
        this->vmStates[vm].busy = true;
    }
    this->sendQuery(vm, step, upstreams, limit, std::move(done));
    return true;
}

void AdviceDispatcher::logRefusal(AdviceQueryClass queryClass, const UsableVms &vms, base::SteadyTime now)
{
    const std::chrono::milliseconds refusedFor = this->reserve.refusedFor(queryClass, now);
    if (refusedFor < RefusalLogInterval || now < this->nextRefusalLog) {
        return;
    }
    this->nextRefusalLog = now + RefusalLogInterval;
    Logger.info("event=advice_query_refused class={} for_ms={} usable_vms={} free_vms={} reserved_vms={}",
                className(queryClass),
                refusedFor.count(),
                vms.count,
                vms.free.size(),
                AdviceVmReserve::reservedVms(queryClass, vms.count));
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
