#include "SvgPlot.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace cranberryreel::bench
{

namespace
{

constexpr double Width = 760;
constexpr double LabelWidth = 220;
constexpr double BarsWidth = 400;
constexpr double RowHeight = 20;
constexpr double TitleHeight = 34;
constexpr double Margin = 14;

} // namespace

void SvgPlot::add(const std::string &title, const std::string &unit, const Bars &bars)
{
    double largest = 0;
    for (const auto &[name, value] : bars) {
        largest = std::max(largest, value);
    }
    double y = this->height + TitleHeight;
    this->body += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" font-weight=\"bold\">{}</text>\n", Margin, y - 10, title);
    for (const auto &[name, value] : bars) {
        const bool isPlanner = name.rfind("planner", 0) == 0 || name == "power of two";
        const double length = largest > 0 ? BarsWidth * value / largest : 0;
        this->body += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" text-anchor=\"end\">{}</text>\n", LabelWidth - 6, y + 14, name);
        this->body += fmt::format("<rect x=\"{:.0f}\" y=\"{:.0f}\" width=\"{:.1f}\" height=\"{:.0f}\" fill=\"{}\"/>\n",
                                  LabelWidth,
                                  y + 3,
                                  std::max(1.0, length),
                                  RowHeight - 6,
                                  isPlanner ? "#b3173d" : "#8a94a0");
        this->body += fmt::format("<text x=\"{:.1f}\" y=\"{:.0f}\">{:.4g} {}</text>\n", LabelWidth + length + 6, y + 14, value, unit);
        y += RowHeight;
    }
    this->height = y;
}

void SvgPlot::write(const std::string &path) const
{
    std::ofstream file(path);
    file << fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0:.0f}\" height=\"{1:.0f}\" viewBox=\"0 0 {0:.0f} {1:.0f}\" "
                        "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n{2}</svg>\n",
                        Width,
                        this->height + Margin,
                        this->body);
    if (!file.flush()) {
        throw base::Error(base::ResultCode::Internal, "Cannot write " + path + ".");
    }
}

} // namespace cranberryreel::bench
