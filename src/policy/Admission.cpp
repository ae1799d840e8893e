#include "policy/Admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryreel::policy
{

Decision Admission::makeDecision(const model::JobId &job, base::ResultCode code, std::string reason)
{
    return {DecisionKind::Refuse, job, 0, "", {}, code, std::move(reason)};
}

std::uint32_t Admission::taskCount(const model::JobSpec &spec)
{
    return std::max<std::uint32_t>(1, spec.tasks);
}

Decision Admission::checkFit(const model::JobSpec &spec) const
{
    const std::uint32_t tasks = taskCount(spec);
    if (this->zone.ledger.countFittingEmpty(spec.perTask, 1) == 0) {
        return makeDecision(
            spec.id, base::ResultCode::NeverFits, "No VM in this zone's register is large enough for one task, even when empty; declare a smaller size.");
    }
    if (spec.kind != model::JobKind::Gang) {
        return makeDecision(spec.id, base::ResultCode::Ok, "");
    }
    if (const std::uint64_t fitting = this->zone.ledger.countFittingEmpty(spec.perTask, tasks); fitting < tasks) {
        return makeDecision(
            spec.id, base::ResultCode::NeverFits, fmt::format("This zone can hold at most {} of the {} tasks at once, even when empty.", fitting, tasks));
    }
    return makeDecision(spec.id, base::ResultCode::Ok, "");
}

std::chrono::milliseconds Admission::expectedWait(std::uint32_t waiting, const RateMeter &starts, base::SteadyTime now) const
{
    if (waiting == 0) {
        return std::chrono::milliseconds(0);
    }
    constexpr double MinRate = 0.01;
    const double seconds = waiting / std::max(MinRate, starts.perSecond(now));
    return std::chrono::milliseconds(std::llround(seconds * 1000));
}

base::SteadyTime Admission::waitingSince(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now)
{
    if (partner >= this->waitingBegan.size()) {
        this->waitingBegan.resize(partner + 1, now);
    }
    if (waiting == 0) {
        this->waitingBegan[partner] = now;
    }
    return this->waitingBegan[partner];
}

std::optional<std::chrono::milliseconds> Admission::measuredWait(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now)
{
    constexpr std::chrono::seconds MinAge{1};
    constexpr double MinStarts = 4;
    const RateMeter &starts = this->zone.requestStartRate(partner);
    const auto age = now - std::max(this->waitingSince(partner, waiting, now), starts.steadySince());
    if (waiting == 0) {
        return std::chrono::milliseconds(0);
    }
    if (age < MinAge || starts.weightedCount(now) < MinStarts) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::llround(waiting / starts.perSecond(now, age) * 1000));
}

Decision Admission::decide(const model::JobSpec &spec, base::SteadyTime now)
{
    if (Decision refusal = this->checkFit(spec); refusal.code != base::ResultCode::Ok) {
        return refusal;
    }
    const PartnerIndex partner = this->zone.shares.findOrAddPartner(spec.partner);
    const FairShares::Partner &state = this->zone.shares.at(partner);
    const std::uint32_t tasks = taskCount(spec);
    const std::int64_t tasksAtOnce = spec.kind == model::JobKind::Gang ? tasks : 1;
    const model::Resources minReservation = Demand{spec.perTask, 0}.multipliedBy(tasksAtOnce).resources;
    if (const PartnerIndex exceeded = this->zone.shares.findExceededQuota(partner, minReservation, true); exceeded != NoIndex) {
        return makeDecision(
            spec.id, base::ResultCode::QuotaExceeded, "The job needs more than the whole quota of " + this->zone.shares.at(exceeded).name + ".");
    }
    const std::uint32_t waiting = state.waiting[static_cast<std::size_t>(spec.kind)];
    if (waiting + std::uint64_t{tasks} > state.maxQueued) {
        return makeDecision(spec.id,
                            base::ResultCode::QueueFull,
                            fmt::format("{} has {} waiting tasks of this kind; the limit is {}.", spec.partner, waiting, state.maxQueued));
    }
    if (spec.kind == model::JobKind::Request && spec.deadline.count() > 0) {
        const auto wait = this->measuredWait(partner, waiting, now);
        const auto run =
            this->zone.workModel.typicalRunTime(this->zone.workModel.findOrAddName(partner, spec.name), spec.runTime).value_or(std::chrono::milliseconds(0));
        if (wait && *wait + run > spec.deadline) {
            return makeDecision(spec.id,
                                base::ResultCode::DeadlineUnreachable,
                                fmt::format("{} requests wait ahead of this one; it would start in {} ms, too late for its deadline.", waiting, wait->count()));
        }
    }
    return makeDecision(spec.id, base::ResultCode::Ok, "");
}

} // namespace cranberryreel::policy
