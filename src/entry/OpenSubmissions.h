#pragma once

#include "cranberryreel/model/JobSpec.h"
#include "http/Response.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <string>

namespace cranberryreel::entry
{

/// Submissions whose callers still wait, so that a stop can tell each of them the id to ask after. Owned by the WorkHandlers; any thread.
class OpenSubmissions
{
public:
    void add(const model::JobSpec &spec, const std::string &traceId, const http::Responder &respond);
    void remove(const model::JobId &id);

    /// Answers each with its id and the state unknown.
    void answerUnknown();

private:
    struct Submission {
        model::JobKind kind;
        std::string partner;
        std::string name;
        std::string traceId;
        http::Responder respond;
    };

    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<model::JobId, Submission> open ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t ShardCount = 16;

    Shard &shardOf(const model::JobId &id);

    std::array<Shard, ShardCount> shards;
};

} // namespace cranberryreel::entry
