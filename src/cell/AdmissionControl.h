#pragma once

#include "cell/TermContext.h"
#include "cell/teams/AdmissionPolicy.h"
#include "cell/teams/ArrivalRates.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cranberryreel::cell
{

/// Rejects submitted jobs that would end too late, where the configuration has teams; see teams::AdmissionPolicy. Keeps the load snapshot that the decisions
/// use, and the admitted jobs whose commit is pending. Used by the scheduler's thread only. Owned by the PeerCallHandler.
class AdmissionControl
{
public:
    /// `acceptanceTimes` holds the acceptance times by job number and must outlive this object.
    AdmissionControl(TermContext &termContext, const std::map<std::uint64_t, base::SteadyTime> &acceptanceTimes);

    /// The reply to a job that is rejected. Nothing if the job is admitted; it must then go into the current batch.
    std::optional<wire::ReplyT> rejectionOf(const wire::JobSpecT &spec);

private:
    void refreshSnapshot(const CellState &state, base::SteadyTime now);
    void recordAdmitted(const teams::Submission &job, base::SteadyTime now);
    static void recordRejected(const wire::JobSpecT &spec, const teams::AdmissionDecision &decision);

    TermContext &context;
    const std::map<std::uint64_t, base::SteadyTime> &acceptedAt; ///< By job number.
    teams::LoadSnapshot snapshot;
    teams::ArrivalRates arrivals;
    base::SteadyTime nextRefresh{}; ///< The snapshot is used until then.
    /// Admitted jobs whose commit is pending or whose outcome is unknown. Their submitters may submit them again, and must not be told that they will not run.
    std::map<std::string, teams::JobDemand> uncommitted;
};

} // namespace cranberryreel::cell
