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

/// The replicated state of one availability zone: its jobs with the placement of every task, the idempotency keys, the upstreams that may run work, and the
/// VMs that are being drained. The zone group's thread applies commands; any thread may read. Owned by daemon::ZoneMember.
class ZoneStore : public replication::StateMachine
{
public:
    explicit ZoneStore(const TaskRules &taskRules = {});

    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;

    std::optional<JobRecord> findJob(const model::JobId &id) const;

    /// The job that was submitted with the partner's idempotency key; nothing if the key is not used.
    std::optional<model::JobId> findJobByKey(const std::string &partner, const std::string &key) const;

    /// Visits every job while its shard is locked; the visitor must not call the store.
    void visitJobs(const std::function<void(const JobRecord &)> &visitor) const;
    std::vector<UpstreamRecord> upstreams() const;
    std::set<std::string> drainingVms() const;

    /// Number of stored jobs, including final ones.
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
    std::string applyRecordUpstream(const wire::SeeUpstreamT &command);
    std::string applyRemoveUpstream(const wire::ForgetUpstreamT &command);
    std::string applyDrain(const wire::DrainVmT &command);
    std::string applyExpire(const wire::ExpireT &command);
    bool applyChange(const TaskChange &change, std::chrono::milliseconds now);

    const TaskRules rules;
    std::array<Shard, ShardCount> shards;
    mutable absl::Mutex keysMutex;
    absl::flat_hash_map<std::string, model::JobId> jobIdByKey ABSL_GUARDED_BY(keysMutex);
    mutable absl::Mutex fleetMutex;
    std::map<std::string, UpstreamRecord> fleet ABSL_GUARDED_BY(fleetMutex);
    std::set<std::string> draining ABSL_GUARDED_BY(fleetMutex);
};

} // namespace cranberryreel::zone
