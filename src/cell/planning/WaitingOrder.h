#pragma once

#include "cell/planning/DeadlineEstimator.h"
#include "cell/planning/ReadySteps.h"
#include "cell/teams/TeamLedger.h"
#include "cell/teams/TeamShares.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Sorts waiting steps into the order in which they are served.
/// Load pattern: a burst of wide jobs leaves more work waiting than the cell can finish in time. In order of arrival every job waits equally long, and in the
/// end all are late. So steps are sorted by the priority of their queue, then by timeliness (jobs that can still meet their objective, those that can end
/// within three times the objective, the rest), then by the least remaining work, which lets most jobs end, and then by age.
/// Where teams compete, work beyond its team's rate comes after all other, and steps of equal priority and timeliness are interleaved by the shares of their
/// teams (see TeamTurns). Missed work never starves there: once overdue it is served with the work that is on time, at a small part of its team's weight.
/// Not thread-safe; made anew for each plan.
class WaitingOrder
{
public:
    /// `acceptedAt` holds the acceptance times by job number and must outlive this object; a job that is missing there counts as on time.
    /// `teamLedger` and `speeds` may be null; they must outlive this object as well.
    WaitingOrder(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt,
                 base::SteadyTime now,
                 const teams::TeamLedger *teamLedger = nullptr,
                 const ExpectedSpeeds *speeds = nullptr);

    /// Where teams compete, a wide step may become several portions.
    void sort(std::vector<ReadyStep> &ready);

private:
    struct Rank {
        bool beyondRate = false;
        int priority = 0;
        Timeliness timeliness = Timeliness::OnTime;
        std::int64_t remainingWork = 0; ///< Estimated, in thousandths of a core times milliseconds.
        StepKey key;

        bool operator<(const Rank &other) const;
        bool isSameGroup(const Rank &other) const;
    };

    using RankedStep = std::pair<Rank, ReadyStep *>;

    bool teamsCompete(const std::vector<ReadyStep> &ready) const;
    Rank rankOf(const ReadyStep &ready) const;
    void rankOverdue(ReadyStep &ready, Rank &rank) const;
    teams::TeamShares currentShares() const;
    std::vector<ReadyStep> interleaveTeams(const std::vector<RankedStep> &ranked) const;

    const teams::TeamLedger *ledger;
    const DeadlineEstimator deadlines;
};

} // namespace cranberryreel::cell::planning
