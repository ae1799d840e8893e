#include "policy/Admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryreel::policy
{

Decision Admission::answer(const model::JobId &job, base::ResultCode code, std::string reason)
{
    return {DecisionKind::Refuse, job, 0, "", {}, code, std::move(reason)};
}

std::uint32_t Admission::tasksOf(const model::JobSpec &spec)
{
    return std::max<std::uint32_t>(1, spec.tasks);
}

Decision Admission::verdict(const model::JobSpec &spec) const
{
    const std::uint32_t tasks = tasksOf(spec);
    if (this->zone.ledger.everHolds(spec.perTask, 1) == 0) {
        return answer(spec.id, base::ResultCode::NeverFits, "No VM of this zone's register could hold one task, even empty; declare a smaller size.");
    }
    if (spec.kind != model::JobKind::Gang) {
        return answer(spec.id, base::ResultCode::Ok, "");
    }
    if (const std::uint64_t held = this->zone.ledger.everHolds(spec.perTask, tasks); held < tasks) {
        return answer(spec.id, base::ResultCode::NeverFits, fmt::format("This zone could hold {} of the {} tasks at once, even empty.", held, tasks));
    }
    return answer(spec.id, base::ResultCode::Ok, "");
}

std::chrono::milliseconds Admission::expectedWait(std::uint32_t waiting, const RateMeter &starts, base::SteadyTime now) const
{
    if (waiting == 0) {
        return std::chrono::milliseconds(0);
    }
    constexpr double LeastRate = 0.01;
    const double seconds = waiting / std::max(LeastRate, starts.perSecond(now));
    return std::chrono::milliseconds(std::llround(seconds * 1000));
}

base::SteadyTime Admission::waitingSince(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now)
{
    if (partner >= this->queuedSince.size()) {
        this->queuedSince.resize(partner + 1, now);
    }
    if (waiting == 0) {
        this->queuedSince[partner] = now;
    }
    return this->queuedSince[partner];
}

std::optional<std::chrono::milliseconds> Admission::provenWait(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now)
{
    constexpr std::chrono::seconds LeastAge{1};
    constexpr double LeastStarts = 4;
    const RateMeter &starts = this->zone.requestStartsOf(partner);
    const auto age = now - std::max(this->waitingSince(partner, waiting, now), starts.steadySince());
    if (waiting == 0) {
        return std::chrono::milliseconds(0);
    }
    if (age < LeastAge || starts.recent(now) < LeastStarts) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::llround(waiting / starts.perSecond(now, age) * 1000));
}

Decision Admission::decide(const model::JobSpec &spec, base::SteadyTime now)
{
    if (Decision never = this->verdict(spec); never.code != base::ResultCode::Ok) {
        return never;
    }
    const PartnerIndex partner = this->zone.shares.partner(spec.partner);
    const FairShares::Partner &rules = this->zone.shares.at(partner);
    const std::uint32_t tasks = tasksOf(spec);
    const std::int64_t together = spec.kind == model::JobKind::Gang ? tasks : 1;
    const model::Resources least = Demand{spec.perTask, 0}.times(together).resources;
    if (const PartnerIndex limit = this->zone.shares.hardLimit(partner, least, true); limit != NoIndex) {
        return answer(spec.id, base::ResultCode::QuotaExceeded, "It is larger than the whole quota of " + this->zone.shares.at(limit).name + ".");
    }
    const std::uint32_t waiting = rules.waiting[static_cast<std::size_t>(spec.kind)];
    if (waiting + std::uint64_t{tasks} > rules.maxQueued) {
        return answer(
            spec.id, base::ResultCode::QueueFull, fmt::format("{} has {} tasks of this kind waiting; {} may.", spec.partner, waiting, rules.maxQueued));
    }
    if (spec.kind == model::JobKind::Request && spec.deadline.count() > 0) {
        const auto wait = this->provenWait(partner, waiting, now);
        const auto run = this->zone.model.typicalRunTime(this->zone.model.name(partner, spec.name), spec.runTime).value_or(std::chrono::milliseconds(0));
        if (wait && *wait + run > spec.deadline) {
            return answer(spec.id,
                          base::ResultCode::DeadlineUnreachable,
                          fmt::format("{} requests wait before it; it would start in {} ms, too late for its deadline.", waiting, wait->count()));
        }
    }
    return answer(spec.id, base::ResultCode::Ok, "");
}

} // namespace cranberryreel::policy
