#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::bench
{

/// A few bar charts under each other, as one SVG file. Owned by whoever draws.
class SvgPlot
{
public:
    using Bars = std::vector<std::pair<std::string, double>>;

    /// One chart; bars are drawn on a linear scale from 0.
    void add(const std::string &title, const std::string &unit, const Bars &bars);

    /// Throws base::Error(Internal) when the file cannot be written.
    void write(const std::string &path) const;

private:
    std::string body;
    double height = 0;
};

} // namespace cranberryreel::bench
