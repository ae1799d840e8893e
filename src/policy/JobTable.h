#pragma once

#include "policy/JobEntry.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace cranberryreel::policy
{

/// All jobs known to the planner, by id and by dense index. Indexes of removed jobs are reused. Owned by ZoneState; used by the planner's thread only.
class JobTable
{
public:
    JobIndex add(JobEntry entry);
    void remove(JobIndex job);
    JobIndex find(const model::JobId &id) const;

    bool contains(JobIndex job) const
    {
        return job < this->entries.size() && this->entries[job] != nullptr;
    }

    JobEntry &at(JobIndex job)
    {
        return *this->entries[job];
    }

    const JobEntry &at(JobIndex job) const
    {
        return *this->entries[job];
    }

    std::size_t size() const
    {
        return this->byId.size();
    }

    /// Returns all known jobs, sorted by index; for rare work on the whole table.
    std::vector<JobIndex> allJobs() const;

    /// Returns the task to start next: the lowest requeued one, else the lowest that never started. The job must have a waiting task.
    static std::uint32_t nextWaitingTask(JobEntry &job);

    /// Marks the task as waiting again.
    static void requeueTask(JobEntry &job, std::uint32_t task);

private:
    std::vector<std::unique_ptr<JobEntry>> entries;
    std::vector<JobIndex> freeIndexes;
    absl::flat_hash_map<model::JobId, JobIndex> byId;
};

} // namespace cranberryreel::policy
