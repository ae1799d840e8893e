#pragma once

#include <log4cplus/appender.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>

namespace cranberryreel::observe
{

/// Writes log lines to a descriptor from a thread of its own. Whoever logs never waits for the reader: a line that finds the queue full, or the second's
/// budget of lines spent, is dropped, and a line "event=log_gap dropped=N" stands where lines are missing. Warnings and errors may use the whole queue.
class StreamAppender : public log4cplus::Appender
{
public:
    explicit StreamAppender(int fileDescriptor);
    ~StreamAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool admits(bool important) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void run();
    void writeAll(const std::string &text) const;

    const int descriptor;
    absl::Mutex mutex;
    std::deque<std::string> lines ABSL_GUARDED_BY(mutex);
    std::uint64_t dropped ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t budgetSecond ABSL_GUARDED_BY(mutex) = 0;
    std::size_t spent ABSL_GUARDED_BY(mutex) = 0; ///< Lines of this second.
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace cranberryreel::observe
