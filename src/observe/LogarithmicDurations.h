#pragma once

#include "observe/Metrics.h"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cranberryreel::observe
{

/// Histogram of durations with ten logarithmic bins per decade. Owned by the metrics registry. Any thread.
class LogarithmicDurations : public DurationHistogram
{
public:
    LogarithmicDurations();

    void record(std::chrono::nanoseconds duration) override;
    std::chrono::nanoseconds quantile(double quantile) const override;

    /// Returns the sample lines in the Prometheus text format; `labels` as passed to durations().
    std::string prometheusLines(const std::string &name, const std::string &labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Count = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Count>>;

    /// Upper bound of one bin in seconds (infinity for the last) and its count.
    struct Bin {
        double upper = 0;
        std::uint64_t count = 0;
    };

    /// All bins, in ascending order.
    std::vector<Bin> bins() const;

    Histogram histogram;
    std::atomic<std::int64_t> totalNanoseconds{0};
};

} // namespace cranberryreel::observe
