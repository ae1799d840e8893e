#pragma once

#include "cell/CancelledId.h"
#include "cell/RemovedUpstreams.h"
#include "cell/generated/cell_generated.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::cell
{

/// The replicated state of the cell: the rules in force, the jobs with their tasks and runs, and the upstreams. Only commands change it, and each command has
/// the same effect on every member: no clock, no randomness, no I/O. Not thread-safe; owned by the CellStore, which guards it.
class CellState
{
public:
    CellState();

    /// Applies a committed command. Parts that no longer fit the state, such as the end of a run that is not recorded, are ignored.
    void apply(const wire::CommandT &command);

    /// The whole state, for a snapshot.
    std::string encode() const;

    /// Reads the result of encode(). Throws base::Error(SnapshotCorrupt) when `bytes` are no valid state.
    static CellState decode(std::string_view bytes);

    /// Null before the first rules are committed.
    const wire::RulesT *rules() const
    {
        return this->currentRules.get();
    }

    /// Null when the rules have no queue of this name.
    const wire::QueueT *queue(const std::string &name) const;

    /// The queue that the job belongs to. Host and path prefix identify a queue; its name may change or pass to another queue. The queue as it was when the job
    /// was accepted if the rules no longer have it; null only for jobs accepted by an earlier version of the program.
    const wire::QueueT *queueOf(const wire::JobSpecT &spec) const;

    /// The queue of this host with the longest path prefix that matches the path; null when none matches.
    const wire::QueueT *queueAt(std::string_view host, std::string_view path) const;

    /// The team that the key belongs to; null when it belongs to none. The result is valid until the next command.
    const wire::TeamT *teamOfKey(std::string_view key) const;

    /// Null when the rules have no team of this name.
    const wire::TeamT *teamNamed(std::string_view name) const;

    /// Null when there is no such job.
    const wire::JobT *job(std::uint64_t number) const;
    const wire::JobT *jobNamed(const std::string &id) const;

    /// Whether a job of this id and team (empty: none) was cancelled before it was accepted; it is not accepted any more.
    bool isCancelledId(const std::string &id, const std::string &team = {}) const;

    /// The ids that were cancelled before their jobs were accepted.
    const std::map<std::string, CancelledId> &cancelledIds() const
    {
        return this->cancelledIdTable;
    }

    /// All jobs by number, which is also the order of their acceptance.
    const std::map<std::uint64_t, std::unique_ptr<wire::JobT>> &jobs() const
    {
        return this->jobTable;
    }

    /// Numbers of the jobs that have not ended or still have runs.
    const std::set<std::uint64_t> &openJobs() const
    {
        return this->openJobNumbers;
    }

    const std::map<std::uint64_t, wire::UpstreamT> &upstreams() const
    {
        return this->upstreamTable;
    }

    /// Null for an upstream that never announced itself or was removed.
    const wire::UpstreamT *upstreamNamed(const std::string &id) const;

    /// Null when there is no such task, or its occurrence is not due yet.
    const wire::TaskT *task(const wire::TaskRefT &ref) const;

    /// The number of failed runs at which the job fails, for each of its tasks and gangs; at least 1.
    std::uint32_t failureLimitOf(const wire::JobSpecT &spec) const;

    /// Whether this run is recorded and has not ended.
    bool hasRun(const wire::TaskRefT &ref, std::uint32_t attempt, std::uint64_t upstream) const;

private:
    void setRules(std::unique_ptr<wire::RulesT> rules);
    void applyUpstream(const wire::UpstreamT &change);
    void applyEnd(const wire::EndT &end, const wire::CommandT &command);
    void applyJob(const wire::JobSpecT &spec, std::int64_t nowMs);
    void applyCancel(const std::string &id, std::int64_t nowMs);
    void applyTeamCancel(const wire::TeamCancelT &cancel, std::int64_t nowMs);
    void applyPlacement(const wire::PlacementT &placement);
    void applyDueOccurrence(const wire::TaskRefT &ref);
    void checkFailureLimit(wire::JobT &job, const wire::TaskRefT &ref, std::int64_t nowMs);
    void completeIfDone(wire::JobT &job, const wire::TaskRefT &ref, std::int64_t nowMs);
    void endJob(wire::JobT &job, wire::JobState state, std::int64_t nowMs);
    void updateOpenJobs(const wire::JobT &job);
    wire::JobT *mutableJob(std::uint64_t number);
    wire::TaskT *mutableTask(const wire::TaskRefT &ref);

    std::uint64_t nextJob = 1;
    std::uint64_t nextUpstream = 1;
    std::unique_ptr<wire::RulesT> currentRules;
    absl::flat_hash_map<std::string, const wire::TeamT *> teamsByKey; ///< Teams of the current rules.
    absl::flat_hash_map<std::string, const wire::TeamT *> teamsByName;
    std::map<std::uint64_t, std::unique_ptr<wire::JobT>> jobTable;
    absl::flat_hash_map<std::string, std::uint64_t> jobNumbers;
    std::set<std::uint64_t> openJobNumbers;
    std::map<std::string, CancelledId> cancelledIdTable;
    std::map<std::uint64_t, wire::UpstreamT> upstreamTable;
    absl::flat_hash_map<std::string, std::uint64_t> upstreamNumbers;
    RemovedUpstreams removedUpstreams;
};

/// The failures that count against the limit of the task, or of its gang.
std::uint32_t countedFailures(const wire::JobT &job, const wire::TaskRefT &ref);

/// Whether a failure of this attempt of the task, or of its gang, is known to have been counted. Earlier versions did not record whose failures they counted.
bool isFailureCounted(const wire::JobT &job, const wire::TaskRefT &ref, std::uint32_t attempt);

/// The ids of the jobs that the command cancels.
std::vector<std::string> cancelledJobs(const wire::CommandT &command);

/// True for a job that has neither ended nor been cancelled.
inline bool isActive(const wire::JobT &job)
{
    return job.state == wire::JobState::Queued || job.state == wire::JobState::Running;
}

} // namespace cranberryreel::cell
