#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cranberryreel::observe
{

/// Counts one kind of event. Any thread.
class Counter
{
public:
    virtual ~Counter() = default;
    virtual void add(std::uint64_t events = 1) = 0;
    virtual std::uint64_t value() const = 0;
};

/// Distribution of durations, stored by Boost.Histogram on a logarithmic axis from 10 us to 100 s. Any thread.
class DurationHistogram
{
public:
    virtual ~DurationHistogram() = default;
    virtual void record(std::chrono::nanoseconds duration) = 0;

    /// Returns the upper bound of the bin that contains the quantile; `quantile` ranges from 0 to 1.
    virtual std::chrono::nanoseconds quantile(double quantile) const = 0;
};

/// Return the process-wide instrument with this name and these labels, and create it on first use. Instruments live as long as the process; callers look them
/// up once and store the reference. Names are Prometheus names; `labels` is the text between the braces, such as "zone=\"rey\"", or empty. Any thread.
Counter &counter(const std::string &name, const std::string &help, const std::string &labels = "");
DurationHistogram &durations(const std::string &name, const std::string &help, const std::string &labels = "");

/// Registers a gauge; `read` is called whenever the metrics are exported.
void gauge(const std::string &name, const std::string &help, const std::string &labels, std::function<double()> read);

/// Returns all metrics in the Prometheus text format, version 0.0.4.
std::string prometheusText();

} // namespace cranberryreel::observe
