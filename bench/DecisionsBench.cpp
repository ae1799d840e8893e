#include "decisions/Report.h"
#include "decisions/Scenarios.h"

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

constexpr char Usage[] = "usage: DecisionsBench [--quick] [--json FILE] [--figures FOLDER] [--only SCENARIO]\n";

} // namespace

int main(int argc, char **argv)
{
    cranberryreel::bench::BenchOptions options;
    std::string json = "/dev/null";
    std::string only;
    const option longOptions[] = {
        {"quick", no_argument, nullptr, 'q'}, {"json", required_argument, nullptr, 'j'}, {"only", required_argument, nullptr, 'o'}, {nullptr, 0, nullptr, 0}};
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (chosen) {
        case 'q':
            options.quick = true;
            break;
        case 'j':
            json = optarg;
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
    report.finish();
    return 0;
}
