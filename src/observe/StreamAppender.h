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

/// Writes log lines to a file descriptor on its own thread, so that logging never waits for the reader. A line is dropped if the queue is full or the line
/// budget of the current second is used up; the line "event=log_gap dropped=N" replaces dropped lines. Warnings and errors may use the whole queue and have
/// no budget. Any thread may log.
class StreamAppender : public log4cplus::Appender
{
public:
    explicit StreamAppender(int fileDescriptor);
    ~StreamAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool acceptsLine(bool important) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void run();
    void writeAll(const std::string &text) const;

    const int descriptor;
    absl::Mutex mutex;
    std::deque<std::string> lines ABSL_GUARDED_BY(mutex);
    std::uint64_t dropped ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t budgetSecond ABSL_GUARDED_BY(mutex) = 0;
    std::size_t linesThisSecond ABSL_GUARDED_BY(mutex) = 0; ///< Lines logged in budgetSecond.
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace cranberryreel::observe
