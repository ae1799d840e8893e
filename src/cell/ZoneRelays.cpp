#include "cell/ZoneRelays.h"

#include "cell/CallDesk.h"
#include "cell/Codec.h"
#include "cell/RelayCodec.h"

#include <utility>
#include <vector>

namespace cranberryreel::cell
{

namespace
{

/// VMs tell once a second that they are there.
constexpr std::chrono::milliseconds FreshFor{3500};
/// Added to a call's limit for the way to the relay and back.
constexpr std::chrono::milliseconds LinkAllowance{60};

/// The answer where the relay gave none.
OrderResult lostResult(bool sent)
{
    OrderResult result;
    result.answer = sent ? OrderAnswer::Unknown : OrderAnswer::NotSent;
    result.detail = "no answer from the relay";
    return result;
}

std::function<void(const wire::RelayResultT *, bool)> toOrder(OrderDone done)
{
    return [done = std::move(done)](const wire::RelayResultT *relay, bool sent) { done(relay == nullptr ? lostResult(sent) : orderResultOf(*relay)); };
}

} // namespace

ZoneRelays::ZoneRelays(std::string own, link::LinkHub &linkHub, UpstreamCalls &direct)
    : ownVm(std::move(own))
    , hub(linkHub)
    , calls(direct)
{
}

void ZoneRelays::heard(const std::string &vm, const std::string &zone)
{
    const absl::MutexLock lock(&this->mutex);
    this->relays[vm] = {zone, base::steadyNow()};
}

void ZoneRelays::locateBy(std::function<std::string(const std::string &upstream)> zoneOfUpstream)
{
    this->zoneOf = std::move(zoneOfUpstream);
}

/// Empty where the call is made from here.
std::string ZoneRelays::relayFor(const std::string &upstream)
{
    const std::string zone = this->zoneOf ? this->zoneOf(upstream) : std::string();
    if (zone.empty()) {
        return {};
    }
    const base::SteadyTime now = base::steadyNow();
    std::vector<std::string> fresh;
    const absl::MutexLock lock(&this->mutex);
    for (const auto &[vm, relay] : this->relays) {
        if (vm != this->ownVm && relay.zone == zone && now - relay.heardAt < FreshFor && this->hub.isUp(vm)) {
            fresh.push_back(vm);
        }
    }
    return fresh.empty() ? std::string() : fresh[this->next++ % fresh.size()];
}

void ZoneRelays::hand(const std::string &vm,
                      std::unique_ptr<wire::RelayOrderT> order,
                      std::chrono::milliseconds limit,
                      std::function<void(const wire::RelayResultT *, bool)> done)
{
    wire::CallT call;
    call.kind = wire::CallKind::Relay;
    call.relay = std::move(order);
    this->hub.call(vm, link::Channel::Cell, pack<wire::Call>(call), limit + LinkAllowance, {}, [done = std::move(done)](const link::CallResult &answer) {
        const auto reply = answer.code == base::ResultCode::Ok ? unpack<wire::Reply>(answer.payload) : std::nullopt;
        const bool carriedOut = reply && reply->code == static_cast<int>(base::ResultCode::Ok) && reply->relay;
        done(carriedOut ? reply->relay.get() : nullptr, answer.sent);
    });
}

void ZoneRelays::start(const UpstreamTarget &target, const RunOrder &order, std::chrono::milliseconds limit, bool freshConnection, OrderDone done)
{
    if (const std::string vm = this->relayFor(target.id); !vm.empty()) {
        this->hand(vm, relayStart(target, order, limit, freshConnection), limit, toOrder(std::move(done)));
    } else {
        this->calls.start(target, order, limit, freshConnection, std::move(done));
    }
}

void ZoneRelays::stop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, OrderDone done)
{
    if (const std::string vm = this->relayFor(target.id); !vm.empty()) {
        this->hand(vm, relayStop(target, run, epoch, limit), limit, toOrder(std::move(done)));
    } else {
        this->calls.stop(target, run, epoch, limit, std::move(done));
    }
}

void ZoneRelays::renew(const UpstreamTarget &target, const RenewOrder &order, std::chrono::milliseconds limit, RenewDone done)
{
    if (const std::string vm = this->relayFor(target.id); !vm.empty()) {
        this->hand(vm, relayRenew(target, order, limit), limit, [done = std::move(done)](const wire::RelayResultT *relay, bool sent) {
            RenewResult lost;
            lost.result = lostResult(sent);
            done(relay == nullptr ? lost : renewResultOf(*relay));
        });
    } else {
        this->calls.renew(target, order, limit, std::move(done));
    }
}

void ZoneRelays::pace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit, OrderDone done)
{
    if (const std::string vm = this->relayFor(target.id); !vm.empty()) {
        this->hand(vm, relayPace(target, run, percent, epoch, limit), limit, toOrder(std::move(done)));
    } else {
        this->calls.pace(target, run, percent, epoch, limit, std::move(done));
    }
}

void ZoneRelays::carryOut(const wire::RelayOrderT &relay, std::function<void(wire::ReplyT)> reply)
{
    const UpstreamTarget target{relay.upstream, relay.address};
    const std::chrono::milliseconds limit(relay.limit_ms);
    const auto answer = [reply = std::move(reply)](const auto &result) {
        wire::ReplyT carried = replyOf(base::ResultCode::Ok);
        carried.relay = relayResult(result);
        reply(std::move(carried));
    };
    switch (relay.kind) {
    case wire::RelayKind::Start:
        this->calls.start(target, startOf(relay), limit, relay.fresh_connection, answer);
        break;
    case wire::RelayKind::Stop:
        this->calls.stop(target, {relay.task, relay.attempt}, relay.epoch, limit, answer);
        break;
    case wire::RelayKind::Renew:
        this->calls.renew(target, renewOf(relay), limit, answer);
        break;
    case wire::RelayKind::Pace:
        this->calls.pace(target, {relay.task, relay.attempt}, static_cast<int>(relay.percent), relay.epoch, limit, answer);
        break;
    }
}

} // namespace cranberryreel::cell
