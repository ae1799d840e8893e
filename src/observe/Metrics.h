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

/// A distribution of durations, kept by Boost.Histogram on a logarithmic axis from 10 us to 100 s. Any thread.
class DurationHistogram
{
public:
    virtual ~DurationHistogram() = default;
    virtual void record(std::chrono::nanoseconds duration) = 0;

    /// `quantile` from 0 to 1.
    virtual std::chrono::nanoseconds quantile(double quantile) const = 0;
};

/// All figures of this process, by name. Instruments live as long as the process; ask once and keep the reference.
/// Names are Prometheus names; `labels` is the text between the braces, such as "zone=\"rey\"", or empty.
Counter &counter(const std::string &name, const std::string &help, const std::string &labels = "");
DurationHistogram &durations(const std::string &name, const std::string &help, const std::string &labels = "");

/// Read whenever the figures are written.
void gauge(const std::string &name, const std::string &help, const std::string &labels, std::function<double()> read);

/// The Prometheus text format, version 0.0.4.
std::string prometheusText();

} // namespace cranberryreel::observe
