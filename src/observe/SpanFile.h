#pragma once

#include "observe/Trace.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <fstream>
#include <string>

namespace cranberryreel::observe
{

/// Appends spans to a file of OTLP/JSON lines with a size limit: a full file is renamed with the suffix ".1" and replaces the previous one. Any thread.
class SpanFile : public SpanSink
{
public:
    static constexpr std::uint64_t DefaultMaxBytes = std::uint64_t{64} << 20U;

    /// Throws base::Error(DataFolderUnwritable) when the file cannot be written.
    explicit SpanFile(const std::string &path, std::uint64_t maxBytes = DefaultMaxBytes);

    /// Lines are flushed by the first write that comes a second or more after the last flush, and at destruction. While the file cannot be written, lines are
    /// dropped and the file is opened anew once a second.
    void write(const std::string &otlpJsonLine) override;

private:
    void open() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void flush() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const std::string path;
    const std::uint64_t maxBytes;
    absl::Mutex mutex;
    std::ofstream file ABSL_GUARDED_BY(mutex);
    std::uint64_t size ABSL_GUARDED_BY(mutex) = 0;
    std::chrono::steady_clock::time_point lastFlush ABSL_GUARDED_BY(mutex);
    bool failing ABSL_GUARDED_BY(mutex) = false; ///< The last flush failed.
};

} // namespace cranberryreel::observe
