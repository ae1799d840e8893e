#include "cell/ZoneRelays.h"

#include "cell/Codec.h"
#include "cell/PeerCallHandler.h"
#include "cell/RelayCodec.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// A VM renews its offer to relay once a second (CellCaller::startLookups()).
constexpr std::chrono::milliseconds RelayMaxAge{3500};
/// Added to a call's time limit for the link to the relay and back.
constexpr std::chrono::milliseconds LinkAllowance{60};

/// The result of a call whose relay gave no answer.
UpstreamCallResult unansweredResult(bool sent)
{
    UpstreamCallResult result;
    result.status = sent ? UpstreamCallStatus::Unknown : UpstreamCallStatus::NotSent;
    result.detail = "no answer from the relay";
    return result;
}

std::function<void(const wire::RelayResultT *, bool)> toRelayCallback(UpstreamCallback done)
{
    return [done = std::move(done)](const wire::RelayResultT *relay, bool sent) { done(relay == nullptr ? unansweredResult(sent) : decodeCallResult(*relay)); };
}

} // namespace

ZoneRelays::ZoneRelays(std::string vm, link::LinkHub &linkHub, UpstreamCalls &direct)
    : ownVm(std::move(vm))
    , hub(linkHub)
    , calls(direct)
{
}

void ZoneRelays::recordRelay(const std::string &vm, const std::string &zone, std::optional<std::chrono::milliseconds> clock)
{
    const base::SteadyTime now = base::steadyNow();
    const absl::MutexLock lock(&this->mutex);
    Relay &relay = this->relays[vm];
    relay.zone = zone;
    relay.lastSeenAt = now;
    if (clock) {
        relay.clock.record(*clock, now);
    }
}

void ZoneRelays::setZoneLookup(std::function<std::string(const std::string &upstream)> lookup)
{
    this->zoneLookup = std::move(lookup);
}

/// The VM that relays calls to the upstream; empty to call the upstream directly.
std::string ZoneRelays::chooseRelay(const std::string &upstream)
{
    const std::string zone = this->zoneLookup ? this->zoneLookup(upstream) : std::string();
    if (zone.empty()) {
        return {};
    }
    const base::SteadyTime now = base::steadyNow();
    std::vector<std::string> candidates;
    const absl::MutexLock lock(&this->mutex);
    for (const auto &[vm, relay] : this->relays) {
        if (vm != this->ownVm && relay.zone == zone && now - relay.lastSeenAt < RelayMaxAge && this->hub.isUp(vm)) {
            candidates.push_back(vm);
        }
    }
    return candidates.empty() ? std::string() : candidates[this->nextRelay++ % candidates.size()];
}

/// Until when the relay may send an order, on its own clock; -1 if its clock is not known.
std::int64_t ZoneRelays::sendBy(const std::string &vm, std::chrono::milliseconds limit)
{
    const absl::MutexLock lock(&this->mutex);
    const auto clock = this->relays[vm].clock.minimum(base::steadyNow());
    return clock ? (*clock + limit + LinkAllowance).count() : -1;
}

void ZoneRelays::sendRelay(const std::string &vm,
                           std::unique_ptr<wire::RelayOrderT> request,
                           std::chrono::milliseconds limit,
                           std::function<void(const wire::RelayResultT *, bool)> done)
{
    wire::CallT call;
    call.kind = wire::CallKind::Relay;
    call.relay = std::move(request);
    call.relay->send_by_ms = this->sendBy(vm, limit);
    this->hub.call(vm, link::Channel::Cell, pack<wire::Call>(call), limit + LinkAllowance, {}, [done = std::move(done)](const link::CallResult &answer) {
        const auto reply = answer.code == base::ResultCode::Ok ? unpack<wire::Reply>(answer.payload) : std::nullopt;
        const bool carriedOut = reply && reply->code == static_cast<int>(base::ResultCode::Ok) && reply->relay;
        done(carriedOut ? reply->relay.get() : nullptr, answer.sent);
    });
}

void ZoneRelays::start(const UpstreamTarget &target, const StartRequest &request, std::chrono::milliseconds limit, bool freshConnection, UpstreamCallback done)
{
    if (const std::string vm = this->chooseRelay(target.id); !vm.empty()) {
        this->sendRelay(vm, encodeStart(target, request, limit, freshConnection), limit, toRelayCallback(std::move(done)));
    } else {
        this->calls.start(target, request, limit, freshConnection, std::move(done));
    }
}

void ZoneRelays::stop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, UpstreamCallback done)
{
    if (const std::string vm = this->chooseRelay(target.id); !vm.empty()) {
        this->sendRelay(vm, encodeStop(target, run, epoch, limit), limit, toRelayCallback(std::move(done)));
    } else {
        this->calls.stop(target, run, epoch, limit, std::move(done));
    }
}

void ZoneRelays::renew(const UpstreamTarget &target, const RenewRequest &request, std::chrono::milliseconds limit, RenewCallback done)
{
    if (const std::string vm = this->chooseRelay(target.id); !vm.empty()) {
        this->sendRelay(vm, encodeRenew(target, request, limit), limit, [done = std::move(done)](const wire::RelayResultT *relay, bool sent) {
            RenewResult unanswered;
            unanswered.callResult = unansweredResult(sent);
            done(relay == nullptr ? unanswered : decodeRenewResult(*relay));
        });
    } else {
        this->calls.renew(target, request, limit, std::move(done));
    }
}

void ZoneRelays::pace(
    const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit, UpstreamCallback done)
{
    if (const std::string vm = this->chooseRelay(target.id); !vm.empty()) {
        this->sendRelay(vm, encodePace(target, run, percent, epoch, limit), limit, toRelayCallback(std::move(done)));
    } else {
        this->calls.pace(target, run, percent, epoch, limit, std::move(done));
    }
}

void ZoneRelays::handleRelay(const wire::RelayOrderT &relay, const std::function<void(wire::ReplyT)> &reply)
{
    std::chrono::milliseconds limit(relay.limit_ms);
    if (relay.send_by_ms >= 0) {
        const std::chrono::milliseconds left = std::chrono::milliseconds(relay.send_by_ms) - RelayClock::ownReading();
        if (left.count() <= 0) {
            Logger.warn("event=relay_order_expired upstream={} kind={} late_ms={}", relay.upstream, wire::EnumNameRelayKind(relay.kind), -left.count());
            UpstreamCallResult expired;
            expired.status = UpstreamCallStatus::NotSent;
            expired.detail = "the order reached its relay too late";
            wire::ReplyT answer = makeReply(base::ResultCode::Ok);
            answer.relay = encodeResult(expired);
            reply(std::move(answer));
            return;
        }
        limit = std::min(limit, left);
    }
    this->execute(relay, limit, reply);
}

void ZoneRelays::execute(const wire::RelayOrderT &relay, std::chrono::milliseconds limit, const std::function<void(wire::ReplyT)> &reply)
{
    const UpstreamTarget target{relay.upstream, relay.address};
    const auto answer = [reply](const auto &result) {
        wire::ReplyT carried = makeReply(base::ResultCode::Ok);
        carried.relay = encodeResult(result);
        reply(std::move(carried));
    };
    switch (relay.kind) {
    case wire::RelayKind::Start:
        this->calls.start(target, decodeStart(relay), limit, relay.fresh_connection, answer);
        break;
    case wire::RelayKind::Stop:
        this->calls.stop(target, {relay.task, relay.attempt}, relay.epoch, limit, answer);
        break;
    case wire::RelayKind::Renew:
        this->calls.renew(target, decodeRenew(relay), limit, answer);
        break;
    case wire::RelayKind::Pace:
        this->calls.pace(target, {relay.task, relay.attempt}, static_cast<int>(relay.percent), relay.epoch, limit, answer);
        break;
    }
}

} // namespace cranberryreel::cell
