#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::bench
{

/// Draws bar charts below each other into one SVG file. Owned by the code that draws; not thread-safe.
class SvgPlot
{
public:
    using Bars = std::vector<std::pair<std::string, double>>;

    /// Adds a chart; bars are drawn on a linear scale from 0.
    void add(const std::string &title, const std::string &unit, const Bars &bars);

    /// Throws base::Error(Internal) if the file cannot be written.
    void write(const std::string &path) const;

private:
    std::string body;
    double height = 0;
};

} // namespace cranberryreel::bench
