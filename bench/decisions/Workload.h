#pragma once

#include "cranberryreel/model/JobSpec.h"
#include "policy/Planner.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// One job of a generated workload, with what its declaration does not tell.
struct SimJob {
    model::JobSpec spec;
    std::chrono::milliseconds arrival{0};
    std::chrono::milliseconds runTime{0}; ///< True run time of each task; 0: runs until the end of the simulation.
    model::Resources usage; ///< True size.
    std::chrono::milliseconds cancelAt{0}; ///< 0: never.
};

/// The VMs of a zone, all alike but for some that have accelerators; one upstream on each.
struct ZoneShape {
    std::uint32_t vms = 50;
    model::Resources capacity{64000, 131072, 0};
    std::uint32_t slots = 8;
    std::uint32_t vmsPerRack = 6;
    std::uint32_t acceleratorVms = 0;
    std::int64_t acceleratorsEach = 2;
};

/// What a generated workload is made of. Parts are of the offered load, which is a fraction of the zone in its scarcest dimension.
struct WorkloadOptions {
    std::uint64_t seed = 1;
    ZoneShape zone;
    std::chrono::milliseconds length{600000};
    double load = 0.9;
    double requestPart = 0.25;
    double servicePart = 0.2;
    double batchPart = 0.55;
    std::chrono::milliseconds requestMean{800};
    std::chrono::milliseconds batchMean{40000};
    std::chrono::milliseconds requestDeadline{30000};
    double meanCpuMillis = 5000;
    double cpuSpread = 0.7; ///< Of the logarithm.
    double declarationSpread = 0.3; ///< Of the logarithm of declared to true size and run time.
    double burstiness = 3.0; ///< Arrival rate in a burst, by the mean; bursts take a fifth of the time.
    std::uint32_t partners = 4;
    std::uint32_t namesPerPartner = 6;
};

/// Jobs in order of arrival: lognormal sizes, Pareto-tailed run times, bursts, wrong declarations.
std::vector<SimJob> makeWorkload(const WorkloadOptions &options);

/// Sets the register and the upstreams of the zone.
void buildZone(policy::Planner &planner, const ZoneShape &zone, base::SteadyTime now);

std::string vmName(std::uint32_t vm);
std::string upstreamName(std::uint32_t vm);

} // namespace cranberryreel::bench
