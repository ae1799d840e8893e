#pragma once

#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::bench
{

/// One measured line: a scenario, who decided, which seeds, and figures by name.
struct ReportRow {
    std::string scenario;
    std::string policy;
    std::string seeds; ///< "tuning" or "checking".
    std::vector<std::pair<std::string, double>> figures;
};

struct Target {
    std::string name;
    double figure = 0;
    double limit = 0;
    std::string unit;
    bool met = false;
    std::string note;
};

/// Prints a table as rows come in, writes each row as a line of JSON, and sums the targets up at the end. Owned by the bench's main function.
class Report
{
public:
    explicit Report(const std::string &jsonPath);

    void add(const ReportRow &row);

    /// A figure that should be at most, or where `atLeast` at least, the limit.
    void target(const std::string &name, double figure, double limit, const std::string &unit, const std::string &note, bool atLeast = false);
    void finish();

    const std::vector<ReportRow> &rows() const
    {
        return this->all;
    }

private:
    std::ofstream json;
    std::vector<ReportRow> all;
    std::vector<Target> targets;
    std::string lastScenario;
};

} // namespace cranberryreel::bench
