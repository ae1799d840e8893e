#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::policy
{

/// A VM as the planner sees it. A value, copied by the planner.
struct VmView {
    std::string vm;
    std::string rack;
    model::Resources capacity; ///< From the register; all upstreams on the VM share it.
    bool draining = false;
};

/// An upstream as the planner sees it. A value, copied by the planner.
struct UpstreamView {
    std::string id;
    std::string vm;
    std::string service; ///< Empty: accepts any work that names no service.
    std::uint32_t slots = 0;
    bool accepting = false; ///< False while the upstream is leaving, silent, not yet fenced, or stopped by a circuit breaker.
};

/// A partner's or quota group's share of the zone and its limits. A value, copied by the planner.
struct PartnerView {
    std::string partner;
    double weight = 1.0;
    std::string parent; ///< Quota group; empty at the top level.
    model::Resources quota; ///< 0 in a dimension: no quota of its own.
    bool mayBorrow = true;
    std::uint32_t maxQueued = 10000; ///< Waiting tasks per kind.
};

/// What placement optimizes: the waiting time of requests, or the number of VMs in use.
enum class Profile : std::uint8_t {
    WaitingTime,
    Packing,
};

/// The rules that govern planning. A value, copied by the planner.
struct RulesView {
    Profile profile = Profile::WaitingTime;
    std::vector<PartnerView> partners;
    std::chrono::milliseconds giveBackWithin{60000}; ///< Time within which lent capacity is returned to its partner.
};

/// What the caller must do on a decision.
enum class DecisionKind : std::uint8_t {
    Start, ///< Start this task on this upstream; the planner has reserved `reserved`.
    Preempt, ///< Checkpoint and stop this running task.
    Throttle, ///< The task uses more than its reservation and its VM has no free capacity.
    Refuse, ///< The job is answered as not run, with code and reason, and removed from the planner.
};

/// One decision of the planner, with `code` and `reason` for the job's caller. A value.
struct Decision {
    DecisionKind kind = DecisionKind::Start;
    model::JobId job;
    std::uint32_t task = 0;
    std::string upstream;
    model::Resources reserved;
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
};

/// How an attempt ended, as the planner distinguishes it.
enum class TaskEnd : std::uint8_t {
    Done,
    Failed,
    NotStarted, ///< The start request was refused or never sent: the reservation is released, the task waits again at its old position in the queue.
    Preempted, ///< Checkpointed and stopped; the task waits again.
    Lost, ///< The upstream is lost or the lease expired, and the attempt has provably ended. The task waits again if `requeue` is set.
    Stopped, ///< Stopped on the caller's request; tells nothing about the work or the upstream.
};

/// A partner's share of the zone and its work. A value.
struct PartnerShare {
    std::string partner;
    double fairShare = 0; ///< Dominant share that the partner is entitled to now, 0 to 1.
    double used = 0; ///< Dominant share in use now, 0 to 1.
    std::uint32_t waiting = 0; ///< Number of tasks.
    std::uint32_t running = 0; ///< Number of tasks.
};

/// The load of a zone, as other zones learn of it. A value.
struct LoadView {
    double used = 0; ///< Dominant fraction of the accepting capacity that is reserved, 0 to 1.
    std::uint32_t waiting = 0; ///< Number of tasks.
    std::chrono::milliseconds expectedWait{0}; ///< Of a request submitted now.
    std::uint32_t freeRequestSlots = 0; ///< Estimate of how many more requests of the usual size could start at once.
};

/// Decides which tasks start where and in which order, and which are preempted. Holds one zone's ledger and queues in memory, and uses no clock, I/O or
/// threads. Owned and called by one thread of the zone scheduler, and the same way by benches and tests. Rebuilt from the replicated state after a takeover.
class Planner
{
public:
    virtual ~Planner() = default;

    virtual void setRules(const RulesView &rules) = 0;
    virtual void setVm(const VmView &vm) = 0;
    virtual void removeVm(const std::string &vm) = 0;
    virtual void setUpstream(const UpstreamView &upstream, base::SteadyTime now) = 0;
    virtual void removeUpstream(const std::string &id, base::SteadyTime now) = 0;

    /// Adds a job to the queues. Returns code Ok, or why the job is refused at once (NeverFits, QueueFull, QuotaExceeded, DeadlineUnreachable).
    virtual Decision enqueue(const model::JobSpec &spec, base::SteadyTime now) = 0;

    /// Adds a job that was accepted earlier, such as before a takeover; no limits apply. Call taskEnded() for its tasks that already ended and adoptTask() for
    /// those that run, in any order.
    virtual void restore(const model::JobSpec &spec, base::SteadyTime now) = 0;

    /// Adds a task that already runs, adopted after a takeover. A job that is not known yet is added.
    virtual void
    adoptTask(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now) = 0;

    /// Drops the job's waiting tasks; running ones stay reserved until taskEnded().
    virtual void cancel(const model::JobId &job, base::SteadyTime now) = 0;

    /// Call when the upstream has confirmed the start; run time counts from here.
    virtual void taskStarted(const model::JobId &job, std::uint32_t task, base::SteadyTime now) = 0;
    virtual void taskEnded(const model::JobId &job, std::uint32_t task, TaskEnd end, bool requeue, base::SteadyTime now) = 0;

    /// Reports the usage of a running task; it may lag.
    virtual void reportUsage(const model::JobId &job, std::uint32_t task, const model::Resources &used, base::SteadyTime now) = 0;

    /// Returns at most `maxDecisions` decisions that are due now. Call again while it returns that many.
    virtual std::vector<Decision> plan(base::SteadyTime now, std::size_t maxDecisions) = 0;

    /// Explains in one or a few sentences why the job waits or where its tasks run.
    virtual std::string explain(const model::JobId &job, base::SteadyTime now) const = 0;
    virtual std::vector<PartnerShare> shares(base::SteadyTime now) const = 0;
    virtual LoadView load(base::SteadyTime now) const = 0;
};

std::unique_ptr<Planner> makePlanner();

} // namespace cranberryreel::policy
