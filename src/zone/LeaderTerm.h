#pragma once

#include "config/Configuration.h"
#include "cranberryreel/base/Clock.h"
#include "policy/Planner.h"
#include "zone/AttemptEndHandler.h"
#include "zone/Beacon.h"
#include "zone/ChangeBatch.h"
#include "zone/FleetListener.h"
#include "zone/JobCallHandler.h"
#include "zone/JobCloser.h"
#include "zone/JobTable.h"
#include "zone/PlacementIndex.h"
#include "zone/ReportReconciler.h"
#include "zone/TaskCommander.h"
#include "zone/TaskStarter.h"
#include "zone/TermParts.h"
#include "zone/UpstreamFleet.h"
#include "zone/ViewRenderer.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cranberryreel::zone
{

/// One term of leadership over one availability zone. Holds the active scheduler's state in memory, which is rebuilt from ZoneStore when the term begins and
/// destroyed when it ends. Owned by ZoneScheduler; runs on its thread.
class LeaderTerm : private FleetListener
{
public:
    /// `planningRequest` must cause a call of planAndPropose() soon.
    LeaderTerm(SchedulerContext schedulerContext, std::function<void()> planningRequest);

    /// Loads the open jobs and upstreams from the store and starts to renew leases.
    void begin(std::shared_ptr<const config::Configuration> configuration);
    void applyConfiguration(std::shared_ptr<const config::Configuration> configuration);
    /// Dispatches a call by its type; `reply` is called once.
    void handleCall(const ZoneCall &zoneCall, const std::string &traceparent, const ReplyCallback &reply);
    /// Runs the periodic work: leases, waiters, expiry of old jobs, planning.
    void tick();

    /// Runs one round of planning and proposes the collected task changes.
    void planAndPropose();
    /// Ends the term: sends every waiting caller to the next leader.
    void resign(const std::string &leader);
    /// The broadcast that describes the zone's current load.
    Beacon beacon() const;
    std::uint64_t epoch() const;

private:
    void acceptanceChanged(const UpstreamEntry &entry) override;
    void upstreamEnded(const std::string &id, const std::string &newBoot) override;
    void upstreamReported(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt) override;
    void fencedOut(const std::string &id) override;

    void takeOverJobs(base::SteadyTime now);
    void takeOverJob(const JobRecord &record, base::SteadyTime now);
    void executeDecision(const policy::Decision &decision, base::SteadyTime now);
    void handleAnnounce(const AnnounceCall &call, const ReplyCallback &reply);
    void handleView(const ViewCall &call, const ReplyCallback &reply) const;
    void handleDrain(const DrainCall &call, const ReplyCallback &reply);
    void handleMembersChange(const MembersCall &call, const ReplyCallback &reply);
    void expireJobs();

    SchedulerContext context;
    std::function<void()> requestPlanning;
    std::unique_ptr<policy::Planner> planner;
    JobTable jobs;
    PlacementIndex placementIndex;
    ChangeBatch changes;
    UpstreamFleet fleet;
    TermParts parts;
    TaskCommander commander;
    AttemptEndHandler endHandler;
    TaskStarter starter;
    JobCloser closer;
    JobCallHandler jobCalls;
    ReportReconciler reconciler;
    std::shared_ptr<const config::Configuration> currentConfiguration;
    std::set<std::string> plannedVms;
    std::map<std::string, policy::UpstreamView> plannedUpstreams;
    base::SteadyTime nextExpiry;
    base::SteadyTime startedAt;
    bool recoveryReported = false;
};

} // namespace cranberryreel::zone
