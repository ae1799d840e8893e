#include "Report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace cranberryreel::bench
{

Report::Report(const std::string &jsonPath)
    : json(jsonPath)
{
}

void Report::add(const ReportRow &row)
{
    if (row.scenario != this->lastScenario) {
        fmt::print("\n{}\n", row.scenario);
        this->lastScenario = row.scenario;
    }
    std::string line = fmt::format("  {:<22} {:<9}", row.policy, row.seeds);
    nlohmann::json object{{"scenario", row.scenario}, {"policy", row.policy}, {"seeds", row.seeds}};
    for (const auto &[name, figure] : row.figures) {
        line += fmt::format(" {} {:.6g}", name, figure);
        object[name] = figure;
    }
    fmt::print("{}\n", line);
    std::fflush(stdout);
    this->json << object.dump() << '\n';
    this->allRows.push_back(row);
}

void Report::addTarget(const std::string &name, double figure, double limit, const std::string &unit, const std::string &note, bool atLeast)
{
    this->targets.push_back({name, figure, limit, unit, atLeast ? figure >= limit : figure <= limit, note});
}

void Report::finish()
{
    fmt::print("\ntargets\n");
    std::size_t met = 0;
    std::string missed;
    for (const Target &target : this->targets) {
        met += target.met ? 1 : 0;
        missed += target.met ? "" : fmt::format("{}{}", missed.empty() ? "" : ", ", target.name);
        fmt::print(
            "  {:<6} {:<52} {:.5g} {} (limit {:.5g}) {}\n", target.met ? "met" : "MISSED", target.name, target.figure, target.unit, target.limit, target.note);
        this->json
            << nlohmann::json{{"target", target.name}, {"figure", target.figure}, {"limit", target.limit}, {"unit", target.unit}, {"met", target.met}}.dump()
            << '\n';
    }
    fmt::print("targets: {} met, {} missed{}{}\n", met, this->targets.size() - met, missed.empty() ? "" : ": ", missed);
}

} // namespace cranberryreel::bench
