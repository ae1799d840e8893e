#pragma once

#include "observe/Trace.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

namespace cranberryreel::observe
{

/// Keeps the most recent spans in memory, for `cranberryreel trace`. Any thread; sharded so that writers seldom meet.
class SpanRing : public SpanSink
{
public:
    /// Keeps about `capacity` spans; 0 keeps none.
    explicit SpanRing(std::size_t capacity);

    void write(const std::string &otlpJsonLine) override;

    /// All kept spans of the trace `id`, or of the traces in which a span has the attribute work.id = `id`. In no order.
    std::vector<std::string> find(const std::string &id) const;

    /// The same as one OTLP/JSON document; empty when there is none.
    std::string otlpJson(const std::string &id) const;

private:
    static constexpr std::size_t ShardCount = 8;

    struct Shard {
        mutable absl::Mutex mutex;
        std::vector<std::string> lines ABSL_GUARDED_BY(mutex);
        std::size_t next ABSL_GUARDED_BY(mutex) = 0;
    };

    /// Kept lines that hold the text anywhere.
    std::vector<std::string> linesWith(const std::string &text) const;

    const std::size_t shardCapacity;
    std::atomic<std::size_t> turn{0};
    std::array<Shard, ShardCount> shards;
};

} // namespace cranberryreel::observe
