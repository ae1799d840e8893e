#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/Resources.h"
#include "policy/Ids.h"
#include "policy/JobEntry.h"
#include "policy/JobTable.h"

#include <absl/container/btree_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace cranberryreel::policy
{

/// A job's position in its queue: by priority, for requests then by earliest deadline, then by order of arrival.
struct QueueKey {
    std::int32_t negativePriority = 0;
    std::int64_t deadline = 0; ///< Nanoseconds of the steady clock; 0 for kinds without deadline order.
    std::uint64_t sequence = 0;
    JobIndex job = NoIndex;

    bool operator<(const QueueKey &other) const
    {
        return std::tie(this->negativePriority, this->deadline, this->sequence) < std::tie(other.negativePriority, other.deadline, other.sequence);
    }
};

/// The data of a job near the head of its queue that a search needs, stored contiguously.
struct LookaheadJob {
    JobIndex job = NoIndex;
    ServiceIndex service = 0;
    model::Resources need;
    std::uint64_t blockedVersion = 0; ///< The ledger's version at which no VM had free capacity for the job; 0 if unknown.
};

/// Jobs of one partner and kind with waiting tasks, in order.
struct WorkQueue {
    static constexpr std::size_t MaxLookaheadJobs = 16; ///< Jobs tried in order while the ones before them have no capacity.

    absl::btree_set<QueueKey> jobs;
    std::vector<LookaheadJob> lookahead; ///< The first jobs of the queue; see WorkQueues::refreshLookahead().
    bool lookaheadIsStale = true;
    std::uint64_t blockedVersion = 0; ///< The ledger's version at which no job of the lookahead had capacity; 0 if unknown.
    model::Resources minNeed; ///< The minimum need of the lookahead jobs in each dimension.
};

/// All waiting work by partner and kind. Owned by ZoneState; used by the planner's thread only.
class WorkQueues
{
public:
    static constexpr std::size_t KindCount = 4;

    void insert(JobIndex index, JobEntry &job);
    void remove(JobIndex index, JobEntry &job);

    /// Call when the size of a job's tasks has changed.
    void invalidateLookahead(const JobEntry &job);

    WorkQueue &queueFor(PartnerIndex partner, model::JobKind kind);

    /// Returns the jobs at the head of the queue, brought up to date.
    static std::vector<LookaheadJob> &refreshLookahead(WorkQueue &queue, const JobTable &table);

private:
    std::vector<std::array<WorkQueue, KindCount>> queues;
};

} // namespace cranberryreel::policy
