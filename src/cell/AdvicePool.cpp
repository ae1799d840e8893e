#include "cell/AdvicePool.h"

#include "cell/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

/// Of these VMs, none is taken by a slow question: quick ones come in bursts of nearly twice the usual (the deployments' days).
constexpr std::size_t KeptForQuick = 4;
/// And one in so many of all is not taken by a question that is asked ahead, nor less than above.
constexpr std::size_t KeptFromAheadOneIn = 3;
/// A VM whose question failed is not asked for so long.
constexpr std::chrono::milliseconds ShunAfterFailure{1000};
/// Added to a question's limit for the way to the VM that asks and back.
constexpr std::chrono::milliseconds LinkAllowance{200};

} // namespace

AdvicePool::AdvicePool(std::string own, link::LinkHub &linkHub, AdviceCalls &ownCalls)
    : ownVm(std::move(own))
    , hub(linkHub)
    , calls(ownCalls)
{
}

std::vector<std::string> AdvicePool::freeOnes(std::size_t &all) const
{
    all = 1;
    const base::SteadyTime now = base::steadyNow();
    std::vector<std::string> free;
    const auto consider = [&](const std::string &vm) {
        const auto known = this->askers.find(vm);
        if (known == this->askers.end() || (!known->second.busy && known->second.shunnedUntil <= now)) {
            free.push_back(vm);
        }
    };
    for (const link::PeerStatus &peer : this->hub.peers()) {
        if (peer.up) {
            ++all;
            consider(peer.vm);
        }
    }
    consider(this->ownVm);
    return free;
}

bool AdvicePool::ask(Pace pace, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceDone done)
{
    std::string vm;
    {
        const absl::MutexLock lock(&this->mutex);
        std::size_t all = 0;
        const std::vector<std::string> free = this->freeOnes(all);
        const std::size_t kept = pace == Pace::Quick ? 0 : (pace == Pace::Slow ? KeptForQuick : std::max(all / KeptFromAheadOneIn, KeptForQuick));
        if (free.size() <= kept) {
            return false;
        }
        vm = free[this->next++ % free.size()];
        this->askers[vm].busy = true;
    }
    this->askOver(vm, step, upstreams, limit, std::move(done));
    return true;
}

void AdvicePool::askOver(
    const std::string &vm, const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceDone done)
{
    if (vm == this->ownVm) {
        this->calls.ask(step, upstreams, limit, [this, vm, done = std::move(done)](AdviceResult result) {
            this->release(vm, result.answered);
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
        vm, link::Channel::Cell, pack<wire::Call>(call), limit + LinkAllowance, {}, [this, vm, done = std::move(done)](const link::CallResult &answer) {
            AdviceResult result;
            if (const auto reply = answer.code == base::ResultCode::Ok ? unpack<wire::Reply>(answer.payload) : std::nullopt) {
                result.answered = reply->code == static_cast<int>(base::ResultCode::Ok);
                result.busy = reply->code == static_cast<int>(base::ResultCode::QueueFull);
                result.detail = reply->reason;
                for (const auto &ticket : reply->tickets) {
                    result.tickets.emplace_back(ticket->upstream, ticket->ticket);
                }
            } else {
                result.detail = "the VM that was to ask did not answer";
            }
            this->release(vm, result.answered);
            done(std::move(result));
        });
}

void AdvicePool::release(const std::string &vm, bool answered)
{
    const absl::MutexLock lock(&this->mutex);
    Asker &asker = this->askers[vm];
    asker.busy = false;
    if (!answered) {
        asker.shunnedUntil = base::steadyNow() + ShunAfterFailure;
    }
}

} // namespace cranberryreel::cell
