#pragma once

#include "policy/JobEntry.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace cranberryreel::policy
{

/// All jobs that the planner knows, by id and by dense index. Indexes of forgotten jobs are used again. Owned by the planner's state.
class JobTable
{
public:
    JobIndex add(JobEntry entry);
    void forget(JobIndex job);
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

    /// Every known job, in no order; for rare whole-table work.
    std::vector<JobIndex> all() const;

    /// The task to start next: the lowest one that came back, else the lowest fresh one. Call only where tasks wait.
    static std::uint32_t nextWaiting(JobEntry &job);

    /// Puts a task back among the waiting ones.
    static void putBack(JobEntry &job, std::uint32_t task);

private:
    std::vector<std::unique_ptr<JobEntry>> entries;
    std::vector<JobIndex> vacant;
    absl::flat_hash_map<model::JobId, JobIndex> byId;
};

} // namespace cranberryreel::policy
