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

/// Stores the most recent spans in memory, for `cranberryreel trace`. Any thread; sharded to reduce lock contention between writers.
class SpanRing : public SpanSink
{
public:
    /// Stores up to `capacity` spans, rounded up to a multiple of the shard count; 0 stores none.
    explicit SpanRing(std::size_t capacity);

    void write(const std::string &otlpJsonLine) override;

    /// Returns all stored spans of the trace `id`, or of the traces in which a span has the attribute work.id = `id`, in no particular order.
    std::vector<std::string> find(const std::string &id) const;

    /// Returns the spans of find() as one OTLP/JSON document; empty if there are none.
    std::string otlpJson(const std::string &id) const;

private:
    static constexpr std::size_t ShardCount = 8;

    struct Shard {
        mutable absl::Mutex mutex;
        std::vector<std::string> lines ABSL_GUARDED_BY(mutex);
        std::size_t next ABSL_GUARDED_BY(mutex) = 0;
    };

    /// Returns the stored lines that contain the text.
    std::vector<std::string> linesContaining(const std::string &text) const;

    const std::size_t shardCapacity;
    std::atomic<std::size_t> nextShard{0};
    std::array<Shard, ShardCount> shards;
};

} // namespace cranberryreel::observe
