#include "Scenarios.h"

#include <algorithm>
#include <numeric>

namespace cranberryreel::bench
{

namespace
{

template<Baseline baseline>
std::unique_ptr<policy::Planner> makeBaseline(std::uint64_t seed)
{
    return std::make_unique<BaselinePlanner>(baseline, seed);
}

std::unique_ptr<policy::Planner> makeWithProfile(policy::Profile profile)
{
    auto planner = policy::makePlanner();
    policy::RulesView rules;
    rules.profile = profile;
    planner->setRules(rules);
    return planner;
}

} // namespace

std::vector<SeedSet> seedSets(const BenchOptions &options)
{
    if (options.quick) {
        return {{"tuning", {1}}, {"checking", {101}}};
    }
    return {{"tuning", {1, 2, 3, 4}}, {"checking", {101, 102, 103, 104}}};
}

std::unique_ptr<policy::Planner> makeWaitingTimePlanner(std::uint64_t /*seed*/)
{
    return makeWithProfile(policy::Profile::WaitingTime);
}

std::unique_ptr<policy::Planner> makePackingPlanner(std::uint64_t /*seed*/)
{
    return makeWithProfile(policy::Profile::Packing);
}

const std::vector<PlannerVariant> &plannerVariants()
{
    static const std::vector<PlannerVariant> all{
        {"planner/waiting-time", &makeWaitingTimePlanner},
        {"planner/packing", &makePackingPlanner},
        {baselineName(Baseline::FirstFit), &makeBaseline<Baseline::FirstFit>},
        {baselineName(Baseline::BestFit), &makeBaseline<Baseline::BestFit>},
        {baselineName(Baseline::WorstFit), &makeBaseline<Baseline::WorstFit>},
        {baselineName(Baseline::Random), &makeBaseline<Baseline::Random>},
        {baselineName(Baseline::Fifo), &makeBaseline<Baseline::Fifo>},
    };
    return all;
}

double quantile(std::vector<double> samples, double probability)
{
    if (samples.empty()) {
        return 0;
    }
    const auto index = std::min(samples.size() - 1, static_cast<std::size_t>(probability * static_cast<double>(samples.size())));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return samples[index];
}

double mean(const std::vector<double> &samples)
{
    return samples.empty() ? 0 : std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
}

} // namespace cranberryreel::bench
