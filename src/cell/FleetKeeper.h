#pragma once

#include "cell/RunKeeper.h"
#include "cell/TermContext.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Told how a call of an upstream or an operator ended.
using CallEnded = std::function<void(base::ResultCode)>;

/// Follows the upstreams in one term: their announcements, the renewal of leases, the ends they list, and their deaths. Used by the scheduler's thread
/// only. Owned by the term.
class FleetKeeper
{
public:
    FleetKeeper(TermContext &termContext, RunKeeper &runKeeper);

    /// Answers once what it says is kept.
    void announced(const wire::AnnouncementT &announcement, const CallEnded &done);

    /// The upstream says that it ends.
    void left(const std::string &id, const CallEnded &done);

    /// It is known to be over, with all that ran there.
    void gone(std::uint64_t number);

    /// Sends the renewals that are due; gives up the runs of upstreams whose leases ran out.
    void tick(base::SteadyTime now);

private:
    UpstreamLife &lifeOf(std::uint64_t number, base::SteadyTime now);
    bool wantsRenewal(std::uint64_t number, const UpstreamLife &life, base::SteadyTime now) const;
    void renew(std::uint64_t number, UpstreamLife &life, const UpstreamTarget &target, base::SteadyTime now);
    void renewed(std::uint64_t number, std::uint64_t lifeEpoch, std::uint64_t acknowledged, base::SteadyTime sentAt, const RenewResult &result);
    void silent(std::uint64_t number, UpstreamLife &life, base::SteadyTime now, OrderAnswer answer);
    void digest(std::uint64_t number, UpstreamLife &life, base::SteadyTime sentAt, const RenewResult &result);
    std::set<RunKey> digestRunning(std::uint64_t number, const std::vector<RunReport> &running);
    std::set<RunKey> digestEnds(std::uint64_t number, UpstreamLife &life, const std::vector<EndReport> &ended);
    void noteEnd(std::uint64_t number, UpstreamLife &life, const RunTrack &track, RunEnd how);
    void shunSlow(base::SteadyTime now);
    void concludeMissing(std::uint64_t number, base::SteadyTime sentAt, const std::set<RunKey> &listed);
    std::optional<RunKey> keyOf(const RunName &run) const;
    void rebornAs(std::uint64_t number, std::int64_t bornMs);
    void giveUpRuns(std::uint64_t number);
    void addUpstream(const wire::UpstreamT &upstream, const CallEnded &done);

    TermContext &context;
    RunKeeper &runs;
    base::SteadyTime nextSpeedCheck{};
};

} // namespace cranberryreel::cell
