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

/// The upstreams of one zone in one leader term. Fences each upstream with the term's epoch before work is placed on it, renews leases, detects silent
/// upstreams, and knows when a lease has provably expired. Renew requests to a silent upstream carry no lease, so the lease expires a bounded time after the
/// last request that may have reached the upstream. Owned by LeaderTerm; used on the scheduler's thread only.
class UpstreamFleet
{
public:
    UpstreamFleet(SchedulerContext &context, FleetListener &listener);

    /// Begins the term with every upstream that an earlier leader may have used.
    void takeOver(base::SteadyTime now);

    /// Handles an upstream's announcement. New or changed upstreams are recorded by the group before they get work.
    void handleAnnouncement(const model::UpstreamReport &report, base::SteadyTime now);
    /// Sends due renew requests and detects silent upstreams and expired leases.
    void tick(base::SteadyTime now);

    /// Records a failed call: the upstream gets no new work until it answers a renew request.
    void markSuspect(const std::string &id, base::SteadyTime now);

    /// Records that a start request with a lease is sent now.
    void noteLeaseSent(const std::string &id, base::SteadyTime now);

    /// Schedules an acknowledgement: the end of the attempt is recorded and the upstream may delete it.
    void acknowledge(const std::string &id, model::TaskAttempt ended);

    const UpstreamEntry *find(const std::string &id) const;
    std::vector<const UpstreamEntry *> allEntries() const;

    /// True once every upstream known at the take-over has seen the term's epoch or its lease has expired.
    bool isRecovered() const;

    /// True if tasks may be placed. A group that knows no upstream, or was formed anew, first waits for the length of one lease.
    bool mayPlace(base::SteadyTime now) const;

    /// Interval at which an upstream is to announce itself, so that all announcements together stay within the zone's byte budget.
    std::chrono::milliseconds announceInterval() const;

private:
    struct SentRenewal {
        upstream::RenewRequest request;
        base::SteadyTime at;
    };

    /// An announcement that names another boot than the recorded one.
    struct AnnouncedBoot {
        model::UpstreamReport report;
        std::string knownBoot;
        int triesLeft;
    };

    void verifyBoot(const AnnouncedBoot &announced);
    void handleBootAnswer(const AnnouncedBoot &announced, const upstream::RenewAnswer &answer);
    void proposeRecord(const model::UpstreamReport &report, base::SteadyTime now);
    void handleRecordCommitted(const UpstreamRecord &record, bool leaving, base::SteadyTime now);
    void sendRenewal(UpstreamEntry &entry, base::SteadyTime now);
    void handleRenewalAnswer(const std::string &id, const upstream::RenewAnswer &answer, const SentRenewal &sent);
    void applyRenewalReport(UpstreamEntry &entry, const model::UpstreamReport &report, const SentRenewal &sent);
    void checkSilence(UpstreamEntry &entry, base::SteadyTime now);
    void setPhase(UpstreamEntry &entry, UpstreamPhase phase);
    void updateAcceptance(UpstreamEntry &entry);

    SchedulerContext &context;
    FleetListener &listener;
    std::map<std::string, UpstreamEntry> entries;
    absl::flat_hash_set<std::string> bootsInVerification; ///< Ids of upstreams whose announced boot is being verified.
    absl::flat_hash_set<std::string> recordsInProgress; ///< Ids of upstreams whose record is being committed.
    base::SteadyTime placementBlockedUntil; ///< No task is placed before this time.
    std::size_t unresolvedCount = 0; ///< Number of upstreams known at the take-over that are neither fenced nor lost yet.
    absl::flat_hash_set<std::string> unresolvedIds; ///< Ids of the upstreams that `unresolvedCount` counts.
};

} // namespace cranberryreel::zone
