#include "cell/teams/AdmissionPolicy.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryreel::cell::teams
{

namespace
{

using planning::Timeliness;
using std::chrono::milliseconds;

/// Estimates of submitters are off by up to this share of the estimate, either way.
constexpr double EstimateError = 0.9;
/// A service with a larger share free is not full: what waits there waits for something else, such as a label, advice or reserved upstreams. The planner keeps
/// 0.12 free for urgent work.
constexpr double FreeShareWhenFull = 0.2;
/// The Retry-After header has whole seconds.
constexpr milliseconds MinRetryDelay{1000};
/// Callers of the deployments time out after 3 s, and an entry VM waits for at most 10 s on behalf of a caller: a caller that may wait longer than its job's
/// limit gets no use from it.
constexpr milliseconds MinRetryBound{3000};
constexpr milliseconds MaxRetryBound{10000};

/// The share of the measured arrivals that is expected to continue: a mean over 20 s at 40 jobs a second has an error of 5%, and the load varies.
constexpr double CertainArrivals = 0.9;

milliseconds scaled(milliseconds time, double factor)
{
    return std::chrono::duration_cast<milliseconds>(time * factor);
}

/// Work per millisecond that will arrive and be served before the job, while the job has this timeliness: work within the rates is served before a job beyond
/// its team's rate, and work of a more urgent queue, or of an equally urgent one while it is on time, before a job that is late.
Amounts overtakingArrivals(const ServiceCapacity &service, const JobDemand &job, Timeliness timeliness)
{
    Amounts sum;
    for (const auto &[priority, work] : service.arrivals) {
        if (job.beyondRate || priority < job.priority || (priority == job.priority && timeliness != Timeliness::OnTime)) {
            sum.add(work);
        }
    }
    return sum;
}

/// A deterministic number from 0 to 1, evenly spread over the job ids.
double spreadOf(const std::string &id)
{
    constexpr std::uint64_t Steps = 1000;
    return static_cast<double>(XXH3_64bits(id.data(), id.size()) % (Steps + 1)) / static_cast<double>(Steps);
}

} // namespace

const char *lateReasonName(LateReason reason)
{
    switch (reason) {
    case LateReason::Quota:
        return "quota";
    case LateReason::BeyondRate:
        return "beyond_rate";
    default:
        return "capacity";
    }
}

AdmissionPolicy::AdmissionPolicy(const LoadSnapshot &loadSnapshot)
    : snapshot(loadSnapshot)
{
}

AdmissionDecision AdmissionPolicy::decide(const Submission &job) const
{
    if (job.objective <= milliseconds(0)) {
        return {};
    }
    const milliseconds limit = job.demand.beyondRate ? job.objective : planning::LateLimitFactor * job.objective;
    AdmissionDecision decision = this->predict(job, Timeliness::OnTime, limit);
    if (decision.predictedEnd <= job.objective) {
        return decision;
    }
    // A job that waits longer becomes late, and then competes with the work that is late already.
    if (!job.demand.beyondRate) {
        decision = this->predict(job, Timeliness::Late, limit);
    }
    decision.admitted = decision.predictedEnd <= limit;
    if (job.demand.beyondRate && !decision.admitted) {
        decision.reason = LateReason::BeyondRate;
    }
    decision.retryAfter = decision.admitted ? milliseconds(0) : this->retryDelay(job, decision);
    return decision;
}

AdmissionPolicy::WorkAhead AdmissionPolicy::workAhead(const Submission &job, Timeliness timeliness) const
{
    JobDemand own = job.demand;
    own.timeliness = timeliness;
    const auto ownClass = own.orderClass();
    WorkAhead ahead;
    std::map<std::string, TeamWork> others;
    for (const JobDemand &each : this->snapshot.waiting) {
        // Waiting work that is on time now becomes late as the job does, so both count as one class then.
        auto eachClass = each.orderClass();
        std::get<Timeliness>(eachClass) = std::max(each.timeliness, timeliness);
        const bool ownTeam = each.team == own.team;
        // Within a team smaller jobs go first.
        if (eachClass > ownClass || (ownTeam && eachClass == ownClass && each.size > own.size)) {
            continue;
        }
        if (ownTeam) {
            ahead.team.add(each.work);
        }
        if (each.service != own.service) {
            continue;
        }
        ++ahead.jobs;
        ahead.tasks += each.tasks;
        ahead.taskTime += each.taskTime;
        if (ownTeam) {
            ahead.service.add(each.work);
        } else {
            TeamWork &other = others[each.team];
            (eachClass == ownClass ? other.same : other.before).add(each.work);
        }
    }
    this->addFairShare(job, others, ahead);
    return ahead;
}

/// Adds what other teams get before the job's team has its work ahead and the job served: the work before the job's class, and by weight of the work in it; but
/// no more than a team's quota lets it run within the job's limit.
void AdmissionPolicy::addFairShare(const Submission &job, const std::map<std::string, TeamWork> &teams, WorkAhead &ahead) const
{
    const double ownWeight = this->snapshot.weightOf(job.demand.team);
    const auto limit = static_cast<double>((planning::LateLimitFactor * job.objective).count());
    const Amounts ownWork = ahead.service;
    for (const auto &[team, work] : teams) {
        const double share = this->snapshot.weightOf(team) / ownWeight;
        const auto entry = this->snapshot.teams.find(team);
        for (std::size_t d = 0; d < Amounts::Dimensions; ++d) {
            const double quota = entry == this->snapshot.teams.end() ? 0 : entry->second.quota.total(d);
            const double most = quota > 0 ? quota * limit : std::numeric_limits<double>::max();
            const double same = std::min(work.same[d], share * (ownWork[d] + job.demand.work[d]));
            ahead.service.values[d] += std::min(work.before[d] + same, most);
        }
    }
}

/// The earliest plausible end, at the place that the job has in the order with this timeliness.
AdmissionDecision AdmissionPolicy::predict(const Submission &job, Timeliness timeliness, milliseconds limit) const
{
    AdmissionDecision decision;
    decision.limit = limit;
    const auto service = this->snapshot.services.find(job.demand.service);
    if (service == this->snapshot.services.end()) {
        return decision;
    }
    decision.rate = service->second.rate;
    const WorkAhead ahead = this->workAhead(job, timeliness);
    // Errors of many independent estimates cancel out; a common error is in the measured rate.
    const double certain = 1 - EstimateError / std::sqrt(static_cast<double>(std::max<std::size_t>(ahead.jobs, 1)));
    const milliseconds taskTime = ahead.tasks == 0 ? job.firstTaskTime : std::max(ahead.taskTime / ahead.tasks, job.firstTaskTime);
    const Amounts arrivals = overtakingArrivals(service->second, job.demand, timeliness);
    const milliseconds arrivalsFrom = timeliness == Timeliness::Late ? std::max(job.objective - job.chain, milliseconds(0)) : milliseconds(0);
    const milliseconds shortestChain = scaled(job.chain, 1 - EstimateError);
    const auto consider = [&](const FreedCapacity &capacity, const Amounts &work, const Amounts &overtaking, std::size_t d, LateReason reason) {
        const auto startOf = [&](double own) {
            const FreedCapacity::Backlog backlog{
                certain * work[d] + (1 - EstimateError) * own, taskTime, CertainArrivals * overtaking[d] / decision.rate, scaled(arrivalsFrom, decision.rate)};
            return scaled(capacity.earliestStart(d, backlog), 1 / decision.rate);
        };
        const milliseconds firstStart = startOf(job.firstTask[d] * static_cast<double>(job.firstTaskTime.count()));
        const milliseconds end = std::max(firstStart + shortestChain, startOf(job.demand.work[d]));
        if (end > decision.predictedEnd) {
            decision.predictedEnd = end;
            decision.reason = reason;
            decision.workAhead = milliseconds(static_cast<std::int64_t>(work[d] / std::max(capacity.total(d), 1.0)));
        }
    };
    const auto team = this->snapshot.teams.find(job.demand.team);
    for (std::size_t d = 0; d < Amounts::Dimensions; ++d) {
        const FreedCapacity &capacity = service->second.capacity;
        if (job.demand.work[d] <= 0) {
            continue;
        }
        if (capacity.total(d) > 0 && capacity.free(d) < FreeShareWhenFull * capacity.total(d)) {
            consider(capacity, ahead.service, arrivals, d, LateReason::Capacity);
        }
        if (team != this->snapshot.teams.end() && team->second.quota.total(d) > 0) {
            consider(team->second.quota, ahead.team, Amounts(), d, LateReason::Quota);
        }
    }
    return decision;
}

/// The time after which the work ahead, without new submissions, has shrunk enough to admit the job, spread by the job's id over at least 1 s, so that callers
/// rejected together do not return together.
milliseconds AdmissionPolicy::retryDelay(const Submission &job, const AdmissionDecision &decision) const
{
    const milliseconds bound = std::clamp(planning::LateLimitFactor * job.objective, MinRetryBound, MaxRetryBound);
    const milliseconds delay = std::clamp(decision.predictedEnd - decision.limit, MinRetryDelay, bound * 2 / 3);
    return delay + scaled(std::max(delay / 2, MinRetryDelay), spreadOf(job.id));
}

} // namespace cranberryreel::cell::teams
