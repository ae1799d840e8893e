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

/// A plain restatement of what no planner may do, kept in maps and checked by full sums. Tells the first broken rule. It also plays the zone: it knows what
/// runs where, so that a test can end or report any running task.
class ZoneOracle
{
public:
    struct Task {
        enum class Phase : std::uint8_t {
            Waiting,
            Running,
            Over,
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
        bool hasReturned = false; ///< A task came back to wait again.
    };

    void setVm(const VmView &vm);
    void removeVm(const std::string &vm);
    void setUpstream(const UpstreamView &upstream);
    void removeUpstream(const std::string &id);
    void accepted(const model::JobSpec &spec);
    void cancelled(const model::JobId &job);
    void ended(const model::JobId &job, std::uint32_t task, TaskEnd end, bool again);
    void grown(const model::JobId &job, std::uint32_t task, const model::Resources &used);

    /// Takes a decision; a sentence when it breaks a rule.
    std::optional<std::string> decided(const Decision &decision);

    /// Checks what must hold once the planner has nothing more to decide.
    std::optional<std::string> settled() const;

    std::vector<std::pair<model::JobId, std::uint32_t>> running() const;
    std::size_t waitingJobs() const;
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
