#include "path/LoadTally.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace cranberryreel::bench
{

namespace
{

constexpr double MicrosecondsPerMillisecond = 1000.0;

double quantileMs(const std::vector<std::int64_t> &sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    return static_cast<double>(sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * quantile)]) / MicrosecondsPerMillisecond;
}

} // namespace

void LoadTally::add(const std::string &outcome, std::chrono::nanoseconds latency)
{
    absl::MutexLock lock(&this->mutex);
    ++this->outcomes[outcome];
    ++this->answered;
    if (outcome == "done") {
        this->doneMicroseconds.push_back(std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
    }
}

void LoadTally::addUnsent()
{
    absl::MutexLock lock(&this->mutex);
    ++this->unsent;
}

void LoadTally::print(std::chrono::nanoseconds duration, bool json) const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<std::int64_t> sorted = this->doneMicroseconds;
    std::sort(sorted.begin(), sorted.end());
    const double seconds = std::chrono::duration<double>(duration).count();
    const double rate = static_cast<double>(sorted.size()) / seconds;
    if (json) {
        const nlohmann::json line = {{"done_per_second", rate},
                                     {"p50_ms", quantileMs(sorted, 0.5)},
                                     {"p99_ms", quantileMs(sorted, 0.99)},
                                     {"max_ms", quantileMs(sorted, 1.0)},
                                     {"seconds", seconds},
                                     {"answered", this->answered},
                                     {"unsent", this->unsent},
                                     {"outcomes", this->outcomes}};
        fmt::print("{}\n", line.dump());
        return;
    }
    fmt::print("done/s {:.0f}   p50 {:.2f} ms   p99 {:.2f} ms   p99.9 {:.2f} ms   over {:.1f} s\n",
               rate,
               quantileMs(sorted, 0.5),
               quantileMs(sorted, 0.99),
               quantileMs(sorted, 0.999),
               seconds);
    for (const auto &[outcome, count] : this->outcomes) {
        fmt::print("  {:<40} {}\n", outcome, count);
    }
    if (this->unsent > 0) {
        fmt::print("  {:<40} {}\n", "not sent: too many open", this->unsent);
    }
}

} // namespace cranberryreel::bench
