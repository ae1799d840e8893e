#pragma once

#include "config/Configuration.h"
#include "cranberryreel/base/Clock.h"
#include "policy/Planner.h"
#include "zone/Beacon.h"
#include "zone/ChangeBatch.h"
#include "zone/FleetListener.h"
#include "zone/JobCloser.h"
#include "zone/JobTable.h"
#include "zone/PlacedIndex.h"
#include "zone/ReportIntake.h"
#include "zone/Submissions.h"
#include "zone/TaskCommander.h"
#include "zone/TaskEnder.h"
#include "zone/TaskStarter.h"
#include "zone/TermParts.h"
#include "zone/UpstreamFleet.h"
#include "zone/Views.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cranberryreel::zone
{

/// One term of leadership over one availability zone: everything the active scheduler holds in memory, rebuilt from the store when the term begins and gone
/// when it ends. Owned by ZoneScheduler; runs on its thread.
class LeaderTerm : private FleetListener
{
public:
    LeaderTerm(SchedulerContext schedulerContext, std::function<void()> wantPump);

    void begin(std::shared_ptr<const config::Configuration> configuration);
    void configured(std::shared_ptr<const config::Configuration> configuration);
    void call(const ZoneCall &zoneCall, const std::string &traceparent, const Reply &reply);
    void tick();

    /// Places what is due and proposes what was gathered.
    void pump();
    void resign(const std::string &leader);
    Beacon beacon() const;
    std::uint64_t epoch() const;

private:
    void acceptanceChanged(const UpstreamEntry &entry) override;
    void upstreamEnded(const std::string &id, const std::string &newBoot) override;
    void upstreamReported(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt) override;
    void fencedOut(const std::string &id) override;

    void takeOverJobs(base::SteadyTime now);
    void takeOverJob(const JobRecord &record, base::SteadyTime now);
    void decide(const policy::Decision &decision, base::SteadyTime now);
    void announce(const AnnounceCall &call, const Reply &reply);
    void view(const ViewCall &call, const Reply &reply) const;
    void drain(const DrainCall &call, const Reply &reply);
    void changeMembers(const MembersCall &call, const Reply &reply);
    void expire();

    SchedulerContext context;
    std::function<void()> requestPump;
    std::unique_ptr<policy::Planner> planner;
    JobTable jobs;
    PlacedIndex placed;
    ChangeBatch changes;
    UpstreamFleet fleet;
    TermParts parts;
    TaskCommander commander;
    TaskEnder ender;
    TaskStarter starter;
    JobCloser closer;
    Submissions submissions;
    ReportIntake intake;
    std::shared_ptr<const config::Configuration> current;
    std::set<std::string> plannedVms;
    std::map<std::string, policy::UpstreamView> toldUpstreams;
    base::SteadyTime nextExpiry;
    base::SteadyTime beganAt;
    bool recoveryReported = false;
};

} // namespace cranberryreel::zone
