#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "upstream/UpstreamAdapter.h"
#include "zone/FleetListener.h"
#include "zone/SchedulerContext.h"
#include "zone/UpstreamEntry.h"

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// The upstreams of one zone in one term: fences each with the term's epoch before work is placed on it, renews leases, notices silence, and knows when a
/// lease is provably over. A lease is extended only while the upstream answers: once it is silent, calls carry no lease, so that it ends a bounded time after
/// the last call that may have reached it. Owned by LeaderTerm; one thread.
class UpstreamFleet
{
public:
    UpstreamFleet(SchedulerContext &context, FleetListener &listener);

    /// Begins the term with every upstream that an earlier scheduler may have used.
    void takeOver(base::SteadyTime now);

    /// An upstream announced itself. New or changed ones are recorded by the group first.
    void announced(const model::UpstreamReport &report, base::SteadyTime now);
    void tick(base::SteadyTime now);

    /// A call to it failed: no new work until it has answered a renewal.
    void suspect(const std::string &id, base::SteadyTime now);

    /// A start that carries a lease goes out now.
    void leaseSent(const std::string &id, base::SteadyTime now);

    /// The end of this attempt is kept; the upstream may forget it.
    void acknowledge(const std::string &id, model::TaskAttempt ended);

    const UpstreamEntry *find(const std::string &id) const;
    std::vector<const UpstreamEntry *> all() const;

    /// True once every upstream known at the takeover was fenced, or its lease is over.
    bool recovered() const;

    /// True while work may be placed at all: a group that knows no upstream waits one lease out first.
    bool mayPlace(base::SteadyTime now) const;

    /// How often an upstream is to announce itself, so that all together stay within the zone's budget of bytes.
    std::chrono::milliseconds announceInterval() const;

private:
    struct SentRenewal {
        upstream::RenewRequest order;
        base::SteadyTime at;
    };

    void record(const model::UpstreamReport &report, base::SteadyTime now);
    void recorded(const UpstreamRecord &record, bool leaving, base::SteadyTime now);
    void renew(UpstreamEntry &entry, base::SteadyTime now);
    void renewed(const std::string &id, const upstream::RenewAnswer &answer, const SentRenewal &sent);
    void answered(UpstreamEntry &entry, const model::UpstreamReport &report, const SentRenewal &sent);
    void watch(UpstreamEntry &entry, base::SteadyTime now);
    void setPhase(UpstreamEntry &entry, UpstreamPhase phase);
    void updateAcceptance(UpstreamEntry &entry);

    SchedulerContext &context;
    FleetListener &listener;
    std::map<std::string, UpstreamEntry> entries;
    absl::flat_hash_set<std::string> recording;
    base::SteadyTime quietUntil; ///< Nothing is placed earlier.
    std::size_t unresolved = 0; ///< Known at the takeover, neither fenced nor lost yet.
    absl::flat_hash_set<std::string> inheritedIds;
};

} // namespace cranberryreel::zone
