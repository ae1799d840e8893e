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

/// A job's place in its queue: urgent first, then for requests the earliest deadline, then the order of arrival.
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

/// What a search needs to know of a job near the head of its queue, kept close together.
struct JobInSight {
    JobIndex job = NoIndex;
    ServiceIndex service = 0;
    model::Resources need;
    std::uint64_t blockedVersion = 0; ///< The ledger's version at which no VM had room for it; 0 when not known.
};

/// Jobs of one partner and kind with waiting tasks, in order.
struct WorkQueue {
    static constexpr std::size_t MostInSight = 16; ///< Jobs tried, in order, while the ones before have no room.

    absl::btree_set<QueueKey> jobs;
    std::vector<JobInSight> sight; ///< The first of the jobs; see WorkQueues::sight().
    bool sightIsStale = true;
    std::uint64_t blockedVersion = 0; ///< The ledger's version at which none of the jobs in sight had room; 0 when not known.
    model::Resources leastNeed; ///< On each dimension the least of the jobs in sight.
};

/// All waiting work, by partner and kind. Owned by the planner's state.
class WorkQueues
{
public:
    static constexpr std::size_t Kinds = 4;

    void insert(JobIndex index, JobEntry &job);
    void remove(JobIndex index, JobEntry &job);

    /// Call when the size of a job's tasks has changed.
    void resized(const JobEntry &job);

    WorkQueue &of(PartnerIndex partner, model::JobKind kind);

    /// The jobs at the head of the queue, brought up to date.
    static std::vector<JobInSight> &sight(WorkQueue &queue, const JobTable &table);

private:
    std::vector<std::array<WorkQueue, Kinds>> queues;
};

} // namespace cranberryreel::policy
