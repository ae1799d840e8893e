#include "cell/AdmissionControl.h"

#include "cell/TeamMetrics.h"
#include "cell/teams/LoadCollector.h"
#include "observe/Log.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

constexpr std::chrono::milliseconds SnapshotLifetime{100};
/// A snapshot is used for at least this many times the time that it took to make, so that snapshots take at most 5% of the leader's processor time.
constexpr int SnapshotCostFactor = 20;

} // namespace

AdmissionControl::AdmissionControl(TermContext &termContext, const std::map<std::uint64_t, base::SteadyTime> &acceptanceTimes)
    : context(termContext)
    , acceptedAt(acceptanceTimes)
{
}

std::optional<wire::ReplyT> AdmissionControl::rejectionOf(const wire::JobSpecT &spec)
{
    if (this->uncommitted.count(spec.id) > 0) {
        return std::nullopt;
    }
    const base::SteadyTime now = base::steadyNow();
    const auto job = this->context.store.read([&](const CellState &state) -> std::optional<teams::Submission> {
        const wire::RulesT *rules = state.rules();
        const bool hasTeams = rules != nullptr && (rules->requires_keys || !rules->teams.empty());
        const wire::QueueT *queue = hasTeams ? state.queueOf(spec) : nullptr;
        if (queue == nullptr) {
            return std::nullopt;
        }
        this->refreshSnapshot(state, now);
        return teams::Submission::of(spec, *queue);
    });
    if (!job) {
        return std::nullopt;
    }
    const teams::AdmissionDecision decision = teams::AdmissionPolicy(this->snapshot).decide(*job);
    if (decision.admitted) {
        this->recordAdmitted(*job, now);
        return std::nullopt;
    }
    recordRejected(spec, decision);
    wire::ReplyT reply;
    reply.code = static_cast<int>(base::ResultCode::DeadlineUnreachable);
    reply.reason = "The job would end too late to be of use.";
    reply.retry_after_ms = static_cast<std::uint32_t>(decision.retryAfter.count());
    return reply;
}

void AdmissionControl::refreshSnapshot(const CellState &state, base::SteadyTime now)
{
    if (now < this->nextRefresh) {
        return;
    }
    const teams::LoadInput input{state, this->context.trackers, this->context.runs, this->context.serviceRates, this->arrivals, this->acceptedAt, now};
    this->snapshot = teams::LoadCollector(input).collect();
    // Jobs of the current batch, and of the batch that is being committed, are not in the state yet.
    for (const auto &[id, demand] : this->uncommitted) {
        if (demand.tasks > 0 && state.jobNamed(id) == nullptr) {
            this->snapshot.waiting.push_back(demand);
        }
    }
    const base::SteadyTime done = base::steadyNow();
    this->nextRefresh = done + std::max<base::SteadyTime::duration>(SnapshotLifetime, SnapshotCostFactor * (done - now));
}

void AdmissionControl::recordAdmitted(const teams::Submission &job, base::SteadyTime now)
{
    if (!job.demand.beyondRate) {
        this->arrivals.record(job.demand.service, job.demand.priority, job.demand.work, now);
    }
    this->snapshot.waiting.push_back(job.demand);
    this->uncommitted.emplace(job.id, job.demand);
    this->context.batch.onOutcome([this, id = job.id](base::ResultCode code) {
        if (code == base::ResultCode::GroupUnavailable) {
            this->uncommitted[id] = {}; // It may be committed later; until then it is not counted as work.
        } else {
            this->uncommitted.erase(id);
        }
    });
}

void AdmissionControl::recordRejected(const wire::JobSpecT &spec, const teams::AdmissionDecision &decision)
{
    const char *reason = teams::lateReasonName(decision.reason);
    TeamMetrics::recordRejected(spec.team, reason);
    Logger.info("event=job_rejected job={} queue={} team={} beyond_rate={} reason={} predicted_end_ms={} limit_ms={} work_ahead_ms={} rate={:.2f} "
                "retry_after_ms={}",
                spec.id,
                spec.queue,
                spec.team.empty() ? "-" : spec.team,
                spec.beyond_rate,
                reason,
                decision.predictedEnd.count(),
                decision.limit.count(),
                decision.workAhead.count(),
                decision.rate,
                decision.retryAfter.count());
}

} // namespace cranberryreel::cell
