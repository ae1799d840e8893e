#pragma once

#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::bench
{

/// One line of results: scenario, policy, seed set, and figures by name.
struct ReportRow {
    std::string scenario;
    std::string policy;
    std::string seeds; ///< "tuning", "checking", or "-" where no seeds apply.
    std::vector<std::pair<std::string, double>> figures;
};

/// A figure with the limit that it should keep.
struct Target {
    std::string name;
    double figure = 0;
    double limit = 0;
    std::string unit;
    bool met = false;
    std::string note;
};

/// Prints a table row by row, writes each row as a line of JSON, and lists the targets at the end. Owned by the benchmark's main function; used by one thread.
class Report
{
public:
    explicit Report(const std::string &jsonPath);

    void add(const ReportRow &row);

    /// Records a figure that should be at most `limit`, or with `atLeast` at least `limit`.
    void addTarget(const std::string &name, double figure, double limit, const std::string &unit, const std::string &note, bool atLeast = false);
    void finish();

    const std::vector<ReportRow> &rows() const
    {
        return this->allRows;
    }

private:
    std::ofstream json;
    std::vector<ReportRow> allRows;
    std::vector<Target> targets;
    std::string lastScenario;
};

} // namespace cranberryreel::bench
