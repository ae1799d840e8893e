#include "observe/StreamAppender.h"

#include "cranberryreel/base/Clock.h"

#include <absl/time/time.h>
#include <fmt/format.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <sstream>
#include <utility>
#include <vector>

#include <unistd.h>

namespace cranberryreel::observe
{

namespace
{

/// Maximum number of lines that wait for the reader; 1 MiB at 250 bytes a line.
constexpr std::size_t MaxQueuedLines = 4096;
/// Queue places reserved for warnings and errors.
constexpr std::size_t PlacesReservedForWarnings = 512;
/// Maximum number of lines below warning level per second: two for each start and each end at the peak rate of current deployments (about 200 a second).
constexpr std::size_t MaxLinesPerSecond = 800;
/// Lines are written in batches, so that a busy process wakes the writer rarely.
constexpr std::chrono::milliseconds WriteInterval{100};
/// A pipe writes up to PIPE_BUF bytes atomically, so that readers see whole lines.
constexpr std::size_t MaxAtomicWriteBytes = 4096;

} // namespace

StreamAppender::StreamAppender(int fileDescriptor)
    : descriptor(fileDescriptor)
    , thread([this] { this->run(); })
{
}

StreamAppender::~StreamAppender()
{
    this->close();
    this->destructorImpl();
}

void StreamAppender::close()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->closed = true;
}

bool StreamAppender::acceptsLine(bool important)
{
    if (important) {
        return this->lines.size() < MaxQueuedLines;
    }
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(base::steadyNow().time_since_epoch()).count();
    if (std::exchange(this->budgetSecond, second) != second) {
        this->linesThisSecond = 0;
    }
    return this->lines.size() < MaxQueuedLines - PlacesReservedForWarnings && this->linesThisSecond++ < MaxLinesPerSecond;
}

void StreamAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream text;
    this->layout->formatAndAppend(text, event);
    const absl::MutexLock lock(&this->mutex);
    if (!this->acceptsLine(event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL)) {
        ++this->dropped;
        return;
    }
    if (this->dropped > 0) {
        this->lines.push_back(fmt::format("event=log_gap dropped={}\n", std::exchange(this->dropped, 0)));
    }
    this->lines.push_back(text.str());
}

void StreamAppender::run()
{
    bool isLastRound = false;
    while (!isLastRound) {
        std::vector<std::string> chunks{{}};
        {
            const absl::MutexLock lock(&this->mutex);
            this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), this->lines.empty() ? absl::Seconds(1) : absl::FromChrono(WriteInterval));
            isLastRound = this->stopping;
            for (const std::string &line : this->lines) {
                if (chunks.back().size() + line.size() > MaxAtomicWriteBytes) {
                    chunks.emplace_back();
                }
                chunks.back() += line;
            }
            this->lines.clear();
        }
        for (const std::string &chunk : chunks) {
            this->writeAll(chunk);
        }
    }
}

void StreamAppender::writeAll(const std::string &text) const
{
    for (std::size_t offset = 0; offset < text.size();) {
        const ssize_t written = ::write(this->descriptor, text.data() + offset, text.size() - offset);
        if (written <= 0) {
            return; // The reader has closed the log, so the error cannot be reported.
        }
        offset += static_cast<std::size_t>(written);
    }
}

} // namespace cranberryreel::observe
