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

struct VmView {
    std::string vm;
    std::string rack;
    model::Resources capacity; ///< From the register; several upstreams on a VM share it.
    bool draining = false;
};

struct UpstreamView {
    std::string id;
    std::string vm;
    std::string service; ///< Empty: takes any work that names no service.
    std::uint32_t slots = 0;
    bool accepting = false; ///< False while leaving, silent, not yet fenced, or circuit-broken.
};

struct PartnerView {
    std::string partner;
    double weight = 1.0;
    std::string parent; ///< Quota group; empty at the top.
    model::Resources quota; ///< 0 in a dimension: no limit of its own.
    bool mayBorrow = true;
    std::uint32_t maxQueued = 10000;
};

enum class Profile : std::uint8_t {
    WaitingTime,
    Packing,
};

struct RulesView {
    Profile profile = Profile::WaitingTime;
    std::vector<PartnerView> partners;
    std::chrono::milliseconds giveBackWithin{60000};
};

enum class DecisionKind : std::uint8_t {
    Start, ///< Start this task on this upstream; the planner has reserved its size.
    Preempt, ///< Checkpoint, then stop this running batch task.
    Throttle, ///< The task uses more than its VM can give.
    Refuse, ///< The job is answered as not run, with code and reason, and forgotten here.
};

struct Decision {
    DecisionKind kind = DecisionKind::Start;
    model::JobId job;
    std::uint32_t task = 0;
    std::string upstream;
    model::Resources reserved;
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
};

enum class TaskEnd : std::uint8_t {
    Done,
    Failed,
    NotStarted, ///< The start was refused or never left: reservation released, the task waits again at its old place in the queue.
    Preempted, ///< Waits again.
    Lost, ///< Upstream or lease gone; ended provably. Waits again where `again` is set.
    Stopped, ///< Ended at the caller's wish; says nothing of the work or the upstream.
};

struct ShareRow {
    std::string partner;
    double due = 0; ///< Dominant share due now, 0 to 1.
    double used = 0; ///< Dominant share held now, 0 to 1.
    std::uint32_t waiting = 0; ///< Tasks.
    std::uint32_t running = 0; ///< Tasks.
};

struct LoadView {
    double used = 0; ///< Dominant fraction of the accepting capacity that is reserved, 0 to 1.
    std::uint32_t waiting = 0; ///< Tasks.
    std::chrono::milliseconds expectedWait{0}; ///< Of an interactive task submitted now.
    std::uint32_t room = 0; ///< About how many more interactive tasks of the usual size would start at once.
};

/// Decides what starts where, in which order, and what gives way. Holds one zone's ledger and queues in memory; no clock, I/O or threads in it, so that one
/// thread of the zone scheduler drives it, and benches and tests drive it the same way. Rebuilt from the replicated state after a takeover.
class Planner
{
public:
    virtual ~Planner() = default;

    virtual void setRules(const RulesView &rules) = 0;
    virtual void setVm(const VmView &vm) = 0;
    virtual void removeVm(const std::string &vm) = 0;
    virtual void setUpstream(const UpstreamView &upstream, base::SteadyTime now) = 0;
    virtual void removeUpstream(const std::string &id, base::SteadyTime now) = 0;

    /// Takes a job into the queue. Returns Ok, or the reason it is refused at once (NeverFits, QueueFull, QuotaExceeded, DeadlineUnreachable).
    virtual Decision enqueue(const model::JobSpec &spec, base::SteadyTime now) = 0;

    /// Takes in a job that was accepted before, such as after a takeover: no limit applies. Tasks of it that ended already are told by ended(), those that run
    /// by adopt(), in any order.
    virtual void restore(const model::JobSpec &spec, base::SteadyTime now) = 0;

    /// Registers a task that already runs (adopted after a takeover); a job that was not enqueued here is taken in.
    virtual void adopt(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now) = 0;

    /// Drops the job's waiting tasks; running ones stay reserved until ended().
    virtual void cancel(const model::JobId &job, base::SteadyTime now) = 0;

    /// The upstream confirmed the start; run time counts from here.
    virtual void started(const model::JobId &job, std::uint32_t task, base::SteadyTime now) = 0;
    virtual void ended(const model::JobId &job, std::uint32_t task, TaskEnd end, bool again, base::SteadyTime now) = 0;

    /// Lagging usage of a running task.
    virtual void usage(const model::JobId &job, std::uint32_t task, const model::Resources &used, base::SteadyTime now) = 0;

    /// At most `most` decisions that are due now. Call again while it returns as many.
    virtual std::vector<Decision> plan(base::SteadyTime now, std::size_t most) = 0;

    /// One sentence: why the job waits, or why its tasks are where they are.
    virtual std::string explain(const model::JobId &job, base::SteadyTime now) const = 0;
    virtual std::vector<ShareRow> shares(base::SteadyTime now) const = 0;
    virtual LoadView load(base::SteadyTime now) const = 0;
};

std::unique_ptr<Planner> makePlanner();

} // namespace cranberryreel::policy
