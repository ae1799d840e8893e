#pragma once

#include "replication/StateMachine.h"
#include "zone/JobRecord.h"
#include "zone/SubmitOutcome.h"
#include "zone/TaskChange.h"
#include "zone/TaskRules.h"
#include "zone/UpstreamRecord.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::zone
{

namespace wire
{
struct SubmitJobT;
struct ChangeTasksT;
struct CancelJobT;
struct RefuseJobT;
struct SeeUpstreamT;
struct ForgetUpstreamT;
struct DrainVmT;
struct ExpireT;
} // namespace wire

/// What one availability zone must not forget: its jobs with every task's place, the idempotency keys, the upstreams that may hold work, the VMs being
/// drained. Replicated by the zone group, whose thread applies commands; any thread may read. Owned by ZoneMember.
class ZoneStore : public replication::StateMachine
{
public:
    explicit ZoneStore(const TaskRules &taskRules = {});

    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;

    std::optional<JobRecord> job(const model::JobId &id) const;

    /// The job that a partner's idempotency key stands for; nothing when the key is free.
    std::optional<model::JobId> jobOfKey(const std::string &partner, const std::string &key) const;

    /// Visits every job under its shard's lock; the visitor must not call back into the store.
    void visitJobs(const std::function<void(const JobRecord &)> &visitor) const;
    std::vector<UpstreamRecord> upstreams() const;
    std::set<std::string> drainingVms() const;

    /// Jobs kept, final ones included.
    std::size_t jobCount() const;

private:
    static constexpr std::size_t ShardCount = 16;

    struct Shard {
        mutable absl::Mutex mutex;
        absl::flat_hash_map<model::JobId, JobRecord> jobs ABSL_GUARDED_BY(mutex);
    };

    Shard &shardOf(const model::JobId &id);
    const Shard &shardOf(const model::JobId &id) const;
    std::string applySubmit(const wire::SubmitJobT &command);
    std::string applyChanges(const wire::ChangeTasksT &command);
    std::string applyCancel(const wire::CancelJobT &command);
    std::string applyRefuse(const wire::RefuseJobT &command);
    std::string applySee(const wire::SeeUpstreamT &command);
    std::string applyForget(const wire::ForgetUpstreamT &command);
    std::string applyDrain(const wire::DrainVmT &command);
    std::string applyExpire(const wire::ExpireT &command);
    bool change(const TaskChange &change, std::chrono::milliseconds now);

    const TaskRules rules;
    std::array<Shard, ShardCount> shards;
    mutable absl::Mutex keysMutex;
    absl::flat_hash_map<std::string, model::JobId> keys ABSL_GUARDED_BY(keysMutex);
    mutable absl::Mutex fleetMutex;
    std::map<std::string, UpstreamRecord> fleet ABSL_GUARDED_BY(fleetMutex);
    std::set<std::string> draining ABSL_GUARDED_BY(fleetMutex);
};

} // namespace cranberryreel::zone
