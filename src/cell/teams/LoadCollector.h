#pragma once

#include "cell/CellState.h"
#include "cell/RunTable.h"
#include "cell/UpstreamTracker.h"
#include "cell/planning/DeadlineEstimator.h"
#include "cell/teams/ArrivalRates.h"
#include "cell/teams/LoadSnapshot.h"
#include "cell/teams/ServiceRates.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace cranberryreel::cell::teams
{

/// The data that a LoadSnapshot is made from. Refers to data of the caller.
struct LoadInput {
    const CellState &state;
    const std::map<std::uint64_t, UpstreamTracker> &trackers; ///< By upstream number.
    RunTable &runs;
    const ServiceRates &rates;
    const ArrivalRates &arrivals;
    const std::map<std::uint64_t, base::SteadyTime> &acceptedAt; ///< By job number; see PlanInput::acceptedAt.
    base::SteadyTime now;
};

/// Makes a LoadSnapshot from the replicated state and what the leader knows of the runs. Its cost grows with the open jobs and their tasks, so it is not used
/// for each submission. Used once.
class LoadCollector
{
public:
    explicit LoadCollector(const LoadInput &loadInput);

    LoadSnapshot collect();

private:
    void addCapacities();
    void addTeams();
    void addJob(const wire::JobT &job);
    void addTasks(const wire::JobT &job, const StepKey &key, JobDemand &demand);
    std::chrono::milliseconds remainingTime(const wire::StepT &step, const RunKey &key) const;

    const LoadInput &input;
    const planning::DeadlineEstimator deadlines;
    std::map<std::string, FreedCapacity::Builder> services;
    std::map<std::string, FreedCapacity::Builder> quotas;
    LoadSnapshot snapshot;
};

} // namespace cranberryreel::cell::teams
