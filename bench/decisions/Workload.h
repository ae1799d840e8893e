#pragma once

#include "cranberryreel/model/JobSpec.h"
#include "policy/Planner.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// One job of a generated workload, with its actual behaviour besides its declaration.
struct SimJob {
    model::JobSpec spec;
    std::chrono::milliseconds arrival{0};
    std::chrono::milliseconds runTime{0}; ///< Actual run time of each task; 0: runs until the simulation ends.
    model::Resources usage; ///< Actual size.
    std::chrono::milliseconds cancelAt{0}; ///< 0: never.
};

/// The VMs of a zone: alike except that some have accelerators; one upstream on each.
struct ZoneShape {
    std::uint32_t vms = 50;
    model::Resources capacity{64000, 131072, 0};
    std::uint32_t slots = 8;
    std::uint32_t vmsPerRack = 6;
    std::uint32_t acceleratorVms = 0;
    std::int64_t acceleratorsEach = 2;
};

/// Parameters of a generated workload. Load and its fractions are relative to the zone's capacity in its scarcest dimension.
struct WorkloadOptions {
    std::uint64_t seed = 1;
    ZoneShape zone;
    std::chrono::milliseconds length{600000};
    double load = 0.9;
    double requestFraction = 0.25;
    double serviceFraction = 0.2;
    double batchFraction = 0.55;
    std::chrono::milliseconds requestMean{800};
    std::chrono::milliseconds batchMean{40000};
    std::chrono::milliseconds requestDeadline{30000};
    double meanCpuMillis = 5000;
    double cpuSpread = 0.7; ///< Standard deviation of the logarithm.
    double declarationSpread = 0.3; ///< Standard deviation of the logarithm of declared to actual size and run time.
    double burstiness = 3.0; ///< Arrival rate in a burst relative to the mean; bursts take a fifth of the time.
    std::uint32_t partners = 4;
    std::uint32_t namesPerPartner = 6;
};

/// Returns jobs in order of arrival, with lognormal sizes, Pareto-tailed run times, bursts and inaccurate declarations.
std::vector<SimJob> makeWorkload(const WorkloadOptions &options);

/// Adds the VMs and upstreams of the zone to the planner.
void buildZone(policy::Planner &planner, const ZoneShape &zone, base::SteadyTime now);

std::string vmName(std::uint32_t vm);
std::string upstreamName(std::uint32_t vm);

} // namespace cranberryreel::bench
