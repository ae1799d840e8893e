#pragma once

#include "policy/Planner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::policy
{

/// A reference model of the invariants that every planner must keep, held in maps and checked by full sums. Records what runs where, so that a test can end or
/// report any running task. Owned by the test; used by one thread.
class ZoneOracle
{
public:
    struct Task {
        enum class Phase : std::uint8_t {
            Waiting,
            Running,
            Ended,
        };
        Phase phase = Phase::Waiting;
        std::string upstream;
        std::string vm;
        model::Resources reserved;
        bool stopping = false;
    };

    struct Job {
        model::JobSpec spec;
        std::vector<Task> tasks;
        bool cancelled = false;
        bool hadRequeue = false; ///< A task was requeued after it had started.
    };

    void setVm(const VmView &vm);
    void removeVm(const std::string &vm);
    void setUpstream(const UpstreamView &upstream);
    void removeUpstream(const std::string &id);
    void jobAccepted(const model::JobSpec &spec);
    void jobCancelled(const model::JobId &job);
    void taskEnded(const model::JobId &job, std::uint32_t task, TaskEnd end, bool requeue);
    void usageReported(const model::JobId &job, std::uint32_t task, const model::Resources &used);

    /// Applies a decision and returns the invariant that the decision violates, or nothing.
    std::optional<std::string> applyDecision(const Decision &decision);

    /// Checks that no gang is started in part. Call when the planner has no more decisions.
    std::optional<std::string> checkGangs() const;

    std::vector<std::pair<model::JobId, std::uint32_t>> runningTasks() const;
    std::size_t waitingJobCount() const;
    const std::map<model::JobId, Job> &jobs() const
    {
        return this->jobById;
    }

private:
    std::optional<std::string> checkStart(const Decision &decision);
    std::optional<std::string> checkPreempt(const Decision &decision);
    std::optional<std::string> checkRefuse(const Decision &decision);
    model::Resources reservedOn(const std::string &vm) const;
    std::uint32_t runningOn(const std::string &upstream) const;

    std::map<std::string, VmView> vms;
    std::map<std::string, UpstreamView> upstreams;
    std::map<model::JobId, Job> jobById;
};

} // namespace cranberryreel::policy
