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
    bool quick = false;
};

/// Seeds that may be tuned on, and seeds that are only ever checked on.
struct SeedSet {
    std::string name;
    std::vector<std::uint64_t> seeds;
};

std::vector<SeedSet> seedSets(const BenchOptions &options);

/// Who decides: the planner with one of its profiles, or a baseline.
struct Contender {
    std::string name;
    std::unique_ptr<policy::Planner> (*make)(std::uint64_t seed);
};

const std::vector<Contender> &contenders();
std::unique_ptr<policy::Planner> makeWaitingTimePlanner(std::uint64_t seed);
std::unique_ptr<policy::Planner> makePackingPlanner(std::uint64_t seed);

/// The value below which `quantile` of the samples lie; 0 for none.
double quantile(std::vector<double> samples, double quantile);
double mean(const std::vector<double> &samples);

void runWaiting(Report &report, const BenchOptions &options);
void runPacking(Report &report, const BenchOptions &options);
void runGangs(Report &report, const BenchOptions &options);
void runFairness(Report &report, const BenchOptions &options);
void runOverload(Report &report, const BenchOptions &options);
void runSpill(Report &report, const BenchOptions &options);
void runCost(Report &report, const BenchOptions &options);

} // namespace cranberryreel::bench
