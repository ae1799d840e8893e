#include "decisions/Report.h"
#include "decisions/Scenarios.h"
#include "decisions/SvgPlot.h"

#include <getopt.h>

#include <cstdio>
#include <string>

namespace
{

struct Scenario {
    const char *name;
    void (*run)(cranberryreel::bench::Report &, const cranberryreel::bench::BenchOptions &);
};

constexpr Scenario Scenarios[] = {
    {"waiting", &cranberryreel::bench::runWaiting},
    {"packing", &cranberryreel::bench::runPacking},
    {"gangs", &cranberryreel::bench::runGangs},
    {"overload", &cranberryreel::bench::runOverload},
    {"spill", &cranberryreel::bench::runSpill},
    {"cost", &cranberryreel::bench::runCost},
    {"fairness", &cranberryreel::bench::runFairness},
};

/// One chart of decisions.svg: a figure of a scenario by policy.
struct Panel {
    const char *scenario;
    const char *figure;
    const char *title;
    const char *unit;
    const char *seeds;
};

constexpr Panel Panels[] = {
    {"waiting: 50 VMs, 90% load", "request_p99_ms", "Request wait, 99th percentile, 90% load (checking seeds)", "ms", "checking"},
    {"packing: 50 VMs, VMs in use by the volume bound",
     "churn_60_percent",
     "VMs in use by the volume bound, work coming and going (checking seeds)",
     "",
     "checking"},
    {"gangs: half the zone, 80% other load", "wait_by_ideal", "Wait of a gang of half the zone by its ideal (checking seeds)", "", "checking"},
    {"failing: 5 of 50 upstreams fail all, 60% load",
     "starts_on_failing_percent",
     "Starts drawn by 5 failing upstreams of 50 (checking seeds)",
     "%",
     "checking"},
    {"spill: 4 zones, the hot one changes every 20 s, views lag 500 ms", "p99_ms", "Wait with spill, 99th percentile (checking seeds)", "ms", "checking"},
    {"cost of a decision", "mean_us", "Processor time of a decision, mean", "us", "-"},
};

void plot(const cranberryreel::bench::Report &report, const std::string &path)
{
    cranberryreel::bench::SvgPlot svg;
    for (const Panel &panel : Panels) {
        cranberryreel::bench::SvgPlot::Bars bars;
        for (const auto &row : report.rows()) {
            for (const auto &[name, figure] : row.figures) {
                if (row.scenario == panel.scenario && row.seeds == panel.seeds && name == panel.figure && row.policy != "never") {
                    bars.emplace_back(row.policy, figure);
                }
            }
        }
        svg.add(panel.title, panel.unit, bars);
    }
    svg.write(path);
}

constexpr char Usage[] = "usage: DecisionsBench [--quick] [--json FILE] [--figures FOLDER] [--only SCENARIO]\n";

} // namespace

int main(int argc, char **argv)
{
    cranberryreel::bench::BenchOptions options;
    std::string json = "/dev/null";
    std::string figures;
    std::string only;
    const option longOptions[] = {{"quick", no_argument, nullptr, 'q'},
                                  {"json", required_argument, nullptr, 'j'},
                                  {"figures", required_argument, nullptr, 'f'},
                                  {"only", required_argument, nullptr, 'o'},
                                  {nullptr, 0, nullptr, 0}};
    for (int opt = 0; (opt = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (opt) {
        case 'q':
            options.quick = true;
            break;
        case 'j':
            json = optarg;
            break;
        case 'f':
            figures = optarg;
            break;
        case 'o':
            only = optarg;
            break;
        default:
            std::fputs(Usage, stderr);
            return 2;
        }
    }
    cranberryreel::bench::Report report(json);
    for (const Scenario &scenario : Scenarios) {
        if (only.empty() || only == scenario.name) {
            scenario.run(report, options);
        }
    }
    if (!figures.empty() && !options.quick && only.empty()) {
        plot(report, figures + "/decisions.svg");
    }
    report.finish();
    return 0;
}
