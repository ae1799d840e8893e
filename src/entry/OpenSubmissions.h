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

/// The submissions whose callers still wait for a response, so that a stopping VM can send each caller the id to look up later. Shared by the WorkHandlers and
/// their callbacks; any thread.
class OpenSubmissions
{
public:
    void add(const model::JobSpec &spec, const std::string &traceId, const http::Responder &respond);
    void remove(const model::JobId &id);

    /// Answers each caller with the id and the state unknown, and removes all submissions.
    void answerAllAsUnknown();

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

    Shard &shardFor(const model::JobId &id);

    std::array<Shard, ShardCount> shards;
};

} // namespace cranberryreel::entry
