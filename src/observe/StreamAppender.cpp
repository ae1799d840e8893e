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

/// Lines that wait for the reader; 1 MiB at 250 bytes a line.
constexpr std::size_t QueueLines = 4096;
/// Ordinary lines leave so many places to warnings and errors.
constexpr std::size_t KeptForWarnings = 512;
/// Ordinary lines a second: two for each start and end of the busiest second of the deployments served today (about 200 a second).
constexpr std::size_t LinesEachSecond = 800;
/// Lines are written together, so that a busy process wakes the writer seldom.
constexpr std::chrono::milliseconds WriteEvery{100};
/// A pipe takes so many bytes in one piece (PIPE_BUF), so that readers see whole lines.
constexpr std::size_t WholeWrite = 4096;

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

bool StreamAppender::admits(bool important)
{
    if (important) {
        return this->lines.size() < QueueLines;
    }
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(base::steadyNow().time_since_epoch()).count();
    if (std::exchange(this->budgetSecond, second) != second) {
        this->spent = 0;
    }
    return this->lines.size() < QueueLines - KeptForWarnings && this->spent++ < LinesEachSecond;
}

void StreamAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream text;
    this->layout->formatAndAppend(text, event);
    const absl::MutexLock lock(&this->mutex);
    if (!this->admits(event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL)) {
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
    bool last = false;
    while (!last) {
        std::vector<std::string> chunks{{}};
        {
            const absl::MutexLock lock(&this->mutex);
            this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), this->lines.empty() ? absl::Seconds(1) : absl::FromChrono(WriteEvery));
            last = this->stopping;
            for (const std::string &line : this->lines) {
                if (chunks.back().size() + line.size() > WholeWrite) {
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
    for (std::size_t at = 0; at < text.size();) {
        const ssize_t written = ::write(this->descriptor, text.data() + at, text.size() - at);
        if (written <= 0) {
            return; // Nobody reads the log any more; there is nowhere to say so.
        }
        at += static_cast<std::size_t>(written);
    }
}

} // namespace cranberryreel::observe
