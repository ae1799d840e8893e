#include "observe/LogarithmicDurations.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryreel::observe
{

namespace
{

constexpr double ShortestSeconds = 1e-5;
constexpr double LongestSeconds = 100;
constexpr int BinCount = 70;

std::string withLabel(const std::string &labels, const std::string &label)
{
    return labels.empty() ? label : labels + "," + label;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

} // namespace

LogarithmicDurations::LogarithmicDurations()
    : histogram(std::make_tuple(Axis(BinCount, ShortestSeconds, LongestSeconds)))
{
}

void LogarithmicDurations::record(std::chrono::nanoseconds duration)
{
    this->histogram(std::chrono::duration<double>(duration).count());
    this->totalNanoseconds.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::chrono::nanoseconds LogarithmicDurations::quantile(double quantile) const
{
    const std::vector<Bin> all = this->bins();
    std::uint64_t total = 0;
    for (const Bin &bin : all) {
        total += bin.count;
    }
    if (total == 0) {
        return std::chrono::nanoseconds(0);
    }
    const double rank = std::max(1.0, std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(total)));
    double seen = 0;
    for (const Bin &bin : all) {
        seen += static_cast<double>(bin.count);
        if (seen >= rank) {
            const std::chrono::duration<double> upper(std::min(bin.upper, LongestSeconds));
            return std::chrono::duration_cast<std::chrono::nanoseconds>(upper);
        }
    }
    return std::chrono::nanoseconds::max();
}

std::string LogarithmicDurations::prometheusLines(const std::string &name, const std::string &labels) const
{
    std::string lines;
    std::uint64_t cumulative = 0;
    for (const Bin &bin : this->bins()) {
        cumulative += bin.count;
        const std::string upper = std::isinf(bin.upper) ? "+Inf" : fmt::format("{:.4g}", bin.upper);
        lines += fmt::format("{}_bucket{{{}}} {}\n", name, withLabel(labels, fmt::format("le=\"{}\"", upper)), cumulative);
    }
    lines += fmt::format("{}_sum{} {}\n", name, braced(labels), std::chrono::duration<double>(std::chrono::nanoseconds(this->totalNanoseconds.load())).count());
    lines += fmt::format("{}_count{} {}\n", name, braced(labels), cumulative);
    return lines;
}

std::vector<LogarithmicDurations::Bin> LogarithmicDurations::bins() const
{
    std::vector<Bin> all;
    all.push_back({ShortestSeconds, this->histogram.at(-1).load()});
    for (int index = 0; index < BinCount; index++) {
        all.push_back({this->histogram.axis().bin(index).upper(), this->histogram.at(index).load()});
    }
    all.push_back({std::numeric_limits<double>::infinity(), this->histogram.at(BinCount).load()});
    return all;
}

} // namespace cranberryreel::observe
