#pragma once

#include "cell/generated/cell_generated.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cranberryreel::cell
{

/// What the cell group replicates: the rules in force, the jobs with their tasks and runs, and the upstreams. Changed by commands only, and by each of them in
/// the same way on every member: no clock, no randomness, no I/O. Owned by the CellStore.
class CellState
{
public:
    CellState();

    void apply(const wire::CommandT &command);

    std::string encode() const;

    /// Throws base::Error(SnapshotCorrupt).
    static CellState decode(std::string_view bytes);

    /// Null before the first configuration.
    const wire::RulesT *rules() const
    {
        return this->currentRules.get();
    }

    /// Null when the rules do not name it.
    const wire::QueueT *queue(const std::string &name) const;

    /// The queue at this host with the longest prefix that the path begins with; null when there is none.
    const wire::QueueT *queueAt(std::string_view host, std::string_view path) const;

    const wire::JobT *job(std::uint64_t number) const;
    const wire::JobT *jobNamed(const std::string &id) const;

    /// All jobs by number, in the order in which they were accepted.
    const std::map<std::uint64_t, std::unique_ptr<wire::JobT>> &jobs() const
    {
        return this->jobTable;
    }

    /// Numbers of the jobs that are not over or still have runs.
    const std::set<std::uint64_t> &openJobs() const
    {
        return this->open;
    }

    const std::map<std::uint64_t, wire::UpstreamT> &upstreams() const
    {
        return this->upstreamTable;
    }

    /// Null for an upstream that never announced itself or is gone.
    const wire::UpstreamT *upstreamNamed(const std::string &id) const;

    /// Null when there is no such task, or its occurrence is not due yet.
    const wire::TaskT *task(const wire::TaskRefT &ref) const;

    /// Whether this run is recorded as going on.
    bool hasRun(const wire::TaskRefT &ref, std::uint32_t attempt, std::uint64_t upstream) const;

private:
    void applyUpstream(const wire::UpstreamT &change);
    void applyEnd(const wire::EndT &end, std::int64_t nowMs);
    void applyJob(const wire::JobSpecT &spec, std::int64_t nowMs);
    void applyCancel(const std::string &id, std::int64_t nowMs);
    void applyPlacement(const wire::PlacementT &placement);
    void applyDue(const wire::TaskRefT &ref);
    void countFailure(wire::JobT &job, const wire::TaskRefT &ref, std::int64_t nowMs);
    void completeIfDone(wire::JobT &job, const wire::TaskRefT &ref, std::int64_t nowMs);
    void endJob(wire::JobT &job, wire::JobState state, std::int64_t nowMs);
    void refreshOpen(const wire::JobT &job);
    wire::JobT *jobOf(std::uint64_t number);
    wire::TaskT *taskOf(const wire::TaskRefT &ref);

    std::uint64_t nextJob = 1;
    std::uint64_t nextUpstream = 1;
    std::unique_ptr<wire::RulesT> currentRules;
    std::map<std::uint64_t, std::unique_ptr<wire::JobT>> jobTable;
    absl::flat_hash_map<std::string, std::uint64_t> jobNumbers;
    std::set<std::uint64_t> open;
    std::map<std::uint64_t, wire::UpstreamT> upstreamTable;
    absl::flat_hash_map<std::string, std::uint64_t> upstreamNumbers;
};

/// True for a job that neither ended nor was cancelled.
inline bool isActive(const wire::JobT &job)
{
    return job.state == wire::JobState::Queued || job.state == wire::JobState::Running;
}

} // namespace cranberryreel::cell
