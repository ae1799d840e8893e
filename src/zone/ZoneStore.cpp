#include "zone/ZoneStore.h"

#include "cranberryreel/base/Error.h"
#include "zone/WireCodec.h"
#include "zone/WireTime.h"

#include <absl/hash/hash.h>

#include <utility>

namespace cranberryreel::zone
{

namespace
{

std::string qualifiedKey(const std::string &partner, const std::string &key)
{
    return partner + '\n' + key;
}

} // namespace

ZoneStore::ZoneStore(const TaskRules &taskRules)
    : rules(taskRules)
{
}

std::string ZoneStore::apply(std::uint64_t /*index*/, std::string_view command)
{
    wire::CommandT native;
    if (!unpackTable<wire::Command>(command, native) || native.body.value == nullptr) {
        return {};
    }
    switch (native.body.type) {
    case wire::CommandBody::SubmitJob:
        return this->applySubmit(*native.body.AsSubmitJob());
    case wire::CommandBody::ChangeTasks:
        return this->applyChanges(*native.body.AsChangeTasks());
    case wire::CommandBody::CancelJob:
        return this->applyCancel(*native.body.AsCancelJob());
    case wire::CommandBody::RefuseJob:
        return this->applyRefuse(*native.body.AsRefuseJob());
    case wire::CommandBody::SeeUpstream:
        return this->applyRecordUpstream(*native.body.AsSeeUpstream());
    case wire::CommandBody::ForgetUpstream:
        return this->applyRemoveUpstream(*native.body.AsForgetUpstream());
    case wire::CommandBody::DrainVm:
        return this->applyDrain(*native.body.AsDrainVm());
    case wire::CommandBody::Expire:
        return this->applyExpire(*native.body.AsExpire());
    case wire::CommandBody::NONE:
        break;
    }
    return {};
}

std::string ZoneStore::applySubmit(const wire::SubmitJobT &command)
{
    if (!command.spec) {
        return {};
    }
    const model::JobSpec spec = fromWire(*command.spec);
    if (this->findJob(spec.id)) {
        return SubmitOutcome{SubmitVerdict::AlreadyKnown, spec.id}.encode();
    }
    if (!spec.key.empty()) {
        absl::MutexLock lock(&this->keysMutex);
        const auto [found, isNew] = this->jobIdByKey.try_emplace(qualifiedKey(spec.partner, spec.key), spec.id);
        if (!isNew) {
            const std::optional<JobRecord> existing = this->findJob(found->second);
            const bool same = existing && describesSameWork(existing->spec, spec);
            return SubmitOutcome{same ? SubmitVerdict::AlreadyKnown : SubmitVerdict::KeyTaken, found->second}.encode();
        }
    }
    Shard &shard = this->shardOf(spec.id);
    absl::MutexLock lock(&shard.mutex);
    JobRecord &job = shard.jobs[spec.id];
    job.spec = spec;
    job.tasks.resize(spec.tasks);
    job.acceptedAt = millisFromWire(command.now_unix_ms);
    return SubmitOutcome{SubmitVerdict::Accepted, spec.id}.encode();
}

std::string ZoneStore::applyChanges(const wire::ChangeTasksT &command)
{
    std::string allowed;
    for (const auto &item : command.changes) {
        allowed.push_back(this->applyChange(fromWire(*item), millisFromWire(command.now_unix_ms)) ? '1' : '0');
    }
    return allowed;
}

bool ZoneStore::applyChange(const TaskChange &change, std::chrono::milliseconds now)
{
    Shard &shard = this->shardOf(change.job);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.jobs.find(change.job);
    const auto rule = static_cast<std::size_t>(change.kind);
    if (found == shard.jobs.end() || rule >= this->rules.byKind.size() || !this->rules.byKind[rule](found->second, change)) {
        return false;
    }
    updateState(found->second, now);
    return true;
}

std::string ZoneStore::applyCancel(const wire::CancelJobT &command)
{
    Shard &shard = this->shardOf(command.job);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.jobs.find(command.job);
    if (found == shard.jobs.end()) {
        return "0";
    }
    if (!model::isFinal(found->second.state)) {
        this->rules.cancel(found->second);
        updateState(found->second, millisFromWire(command.now_unix_ms));
    }
    return "1";
}

std::string ZoneStore::applyRefuse(const wire::RefuseJobT &command)
{
    Shard &shard = this->shardOf(command.job);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.jobs.find(command.job);
    if (found == shard.jobs.end() || model::isFinal(found->second.state)) {
        return "0";
    }
    JobRecord &job = found->second;
    job.reason = command.reason;
    for (TaskRecord &task : job.tasks) {
        if (task.state != model::JobState::Accepted) {
            continue;
        }
        task.state = task.failures > 0 ? model::JobState::Failed : model::JobState::NotRun;
        task.code = static_cast<base::ResultCode>(command.code);
    }
    updateState(job, millisFromWire(command.now_unix_ms));
    return "1";
}

std::string ZoneStore::applyRecordUpstream(const wire::SeeUpstreamT &command)
{
    if (command.upstream) {
        absl::MutexLock lock(&this->fleetMutex);
        this->fleet[command.upstream->id] = fromWire(*command.upstream);
    }
    return "1";
}

std::string ZoneStore::applyRemoveUpstream(const wire::ForgetUpstreamT &command)
{
    absl::MutexLock lock(&this->fleetMutex);
    this->fleet.erase(command.id);
    return "1";
}

std::string ZoneStore::applyDrain(const wire::DrainVmT &command)
{
    absl::MutexLock lock(&this->fleetMutex);
    if (command.draining) {
        this->draining.insert(command.vm);
    } else {
        this->draining.erase(command.vm);
    }
    return "1";
}

std::string ZoneStore::applyExpire(const wire::ExpireT &command)
{
    std::vector<std::string> expiredKeys;
    for (Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto found = shard.jobs.begin(); found != shard.jobs.end();) {
            const JobRecord &job = found->second;
            const auto before = millisFromWire(job.spec.key.empty() ? command.jobs_before_unix_ms : command.keys_before_unix_ms);
            if (job.finalAt.count() == 0 || job.finalAt >= before) {
                ++found;
                continue;
            }
            if (!job.spec.key.empty()) {
                expiredKeys.push_back(qualifiedKey(job.spec.partner, job.spec.key));
            }
            shard.jobs.erase(found++);
        }
    }
    absl::MutexLock lock(&this->keysMutex);
    for (const std::string &key : expiredKeys) {
        this->jobIdByKey.erase(key);
    }
    return "1";
}

std::string ZoneStore::snapshot() const
{
    wire::SnapshotT out;
    this->visitJobs([&out](const JobRecord &job) { out.jobs.push_back(std::make_unique<wire::JobT>(toWire(job))); });
    for (const UpstreamRecord &upstream : this->upstreams()) {
        out.upstreams.push_back(std::make_unique<wire::UpstreamT>(toWire(upstream)));
    }
    const std::set<std::string> vms = this->drainingVms();
    out.draining.assign(vms.begin(), vms.end());
    return packTable<wire::Snapshot>(out);
}

void ZoneStore::restore(std::string_view bytes)
{
    wire::SnapshotT in;
    if (!unpackTable<wire::Snapshot>(bytes, in)) {
        throw base::Error(base::ResultCode::SnapshotCorrupt, "the snapshot of the zone's state is invalid");
    }
    for (Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        shard.jobs.clear();
    }
    absl::MutexLock keysLock(&this->keysMutex);
    this->jobIdByKey.clear();
    for (const auto &item : in.jobs) {
        JobRecord job = fromWire(*item);
        const model::JobId id = job.spec.id;
        if (!job.spec.key.empty()) {
            this->jobIdByKey[qualifiedKey(job.spec.partner, job.spec.key)] = id;
        }
        Shard &shard = this->shardOf(id);
        absl::MutexLock lock(&shard.mutex);
        shard.jobs[id] = std::move(job);
    }
    absl::MutexLock fleetLock(&this->fleetMutex);
    this->fleet.clear();
    for (const auto &item : in.upstreams) {
        this->fleet[item->id] = fromWire(*item);
    }
    this->draining = std::set<std::string>(in.draining.begin(), in.draining.end());
}

std::optional<JobRecord> ZoneStore::findJob(const model::JobId &id) const
{
    const Shard &shard = this->shardOf(id);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.jobs.find(id);
    return found == shard.jobs.end() ? std::nullopt : std::optional<JobRecord>(found->second);
}

std::optional<model::JobId> ZoneStore::findJobByKey(const std::string &partner, const std::string &key) const
{
    absl::MutexLock lock(&this->keysMutex);
    const auto found = this->jobIdByKey.find(qualifiedKey(partner, key));
    return found == this->jobIdByKey.end() ? std::nullopt : std::optional<model::JobId>(found->second);
}

void ZoneStore::visitJobs(const std::function<void(const JobRecord &)> &visitor) const
{
    for (const Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (const auto &[id, job] : shard.jobs) {
            visitor(job);
        }
    }
}

std::vector<UpstreamRecord> ZoneStore::upstreams() const
{
    absl::MutexLock lock(&this->fleetMutex);
    std::vector<UpstreamRecord> all;
    for (const auto &[id, upstream] : this->fleet) {
        all.push_back(upstream);
    }
    return all;
}

std::set<std::string> ZoneStore::drainingVms() const
{
    absl::MutexLock lock(&this->fleetMutex);
    return this->draining;
}

std::size_t ZoneStore::jobCount() const
{
    std::size_t count = 0;
    for (const Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        count += shard.jobs.size();
    }
    return count;
}

ZoneStore::Shard &ZoneStore::shardOf(const model::JobId &id)
{
    return this->shards[absl::HashOf(id) % ShardCount];
}

const ZoneStore::Shard &ZoneStore::shardOf(const model::JobId &id) const
{
    return this->shards[absl::HashOf(id) % ShardCount];
}

} // namespace cranberryreel::zone
