#include "entry/OpenSubmissions.h"

#include "entry/StatusCodec.h"

#include <utility>

namespace cranberryreel::entry
{

namespace
{

constexpr unsigned int StatusOk = 200;
constexpr const char *UnfinishedReason = "This VM stopped before the outcome was known; ask another VM by id, or submit again with the same key.";

} // namespace

OpenSubmissions::Shard &OpenSubmissions::shardFor(const model::JobId &id)
{
    return this->shards[std::hash<model::JobId>()(id) % ShardCount];
}

void OpenSubmissions::add(const model::JobSpec &spec, const std::string &traceId, const http::Responder &respond)
{
    Shard &shard = this->shardFor(spec.id);
    absl::MutexLock lock(&shard.mutex);
    shard.open.insert_or_assign(spec.id, Submission{spec.kind, spec.partner, spec.name, traceId, respond});
}

void OpenSubmissions::remove(const model::JobId &id)
{
    Shard &shard = this->shardFor(id);
    absl::MutexLock lock(&shard.mutex);
    shard.open.erase(id);
}

void OpenSubmissions::answerAllAsUnknown()
{
    for (Shard &shard : this->shards) {
        absl::flat_hash_map<model::JobId, Submission> remaining;
        {
            absl::MutexLock lock(&shard.mutex);
            remaining.swap(shard.open);
        }
        for (const auto &[id, submission] : remaining) {
            model::JobStatus status;
            status.id = id;
            status.kind = submission.kind;
            status.partner = submission.partner;
            status.name = submission.name;
            status.state = model::JobState::Unknown;
            status.code = base::ResultCode::OutcomeUnknown;
            status.reason = UnfinishedReason;
            submission.respond({StatusOk, "application/json", statusToJson(status, submission.traceId), true});
        }
    }
}

} // namespace cranberryreel::entry
