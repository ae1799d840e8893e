#pragma once

#include "BaselinePlanner.h"
#include "Report.h"
#include "ZoneSim.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

struct BenchOptions {
    bool quick = false; ///< Fewer seeds and steps.
};

/// A named set of seeds: policies may be tuned on the tuning seeds, and are only evaluated on the checking seeds.
struct SeedSet {
    std::string name;
    std::vector<std::uint64_t> seeds;
};

std::vector<SeedSet> seedSets(const BenchOptions &options);

/// A planner to compare: our planner with one of its profiles, or a baseline.
struct PlannerVariant {
    std::string name;
    std::unique_ptr<policy::Planner> (*make)(std::uint64_t seed);
};

const std::vector<PlannerVariant> &plannerVariants();
std::unique_ptr<policy::Planner> makeWaitingTimePlanner(std::uint64_t seed);
std::unique_ptr<policy::Planner> makePackingPlanner(std::uint64_t seed);

/// Returns the value below which the fraction `probability` of the samples lies; 0 if there are none.
double quantile(std::vector<double> samples, double probability);
double mean(const std::vector<double> &samples);

void runWaiting(Report &report, const BenchOptions &options);
void runPacking(Report &report, const BenchOptions &options);
void runGangs(Report &report, const BenchOptions &options);
void runFairness(Report &report, const BenchOptions &options);
void runOverload(Report &report, const BenchOptions &options);
void runSpill(Report &report, const BenchOptions &options);
void runCost(Report &report, const BenchOptions &options);

} // namespace cranberryreel::bench
