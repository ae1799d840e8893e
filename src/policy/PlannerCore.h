#pragma once

#include "policy/Admission.h"
#include "policy/Consolidator.h"
#include "policy/Drainer.h"
#include "policy/Explainer.h"
#include "policy/GangReserver.h"
#include "policy/Learner.h"
#include "policy/Planner.h"
#include "policy/Preemptor.h"
#include "policy/RequestHeadroom.h"
#include "policy/Starter.h"
#include "policy/ZoneState.h"

#include <string>
#include <vector>

namespace cranberryreel::policy
{

/// The Planner implementation: applies events to ZoneState and combines the decisions of its parts. Made by makePlanner().
class PlannerCore : public Planner
{
public:
    void setRules(const RulesView &rules) override;
    void setVm(const VmView &vm) override;
    void removeVm(const std::string &vm) override;
    void setUpstream(const UpstreamView &upstream, base::SteadyTime now) override;
    void removeUpstream(const std::string &id, base::SteadyTime now) override;
    Decision enqueue(const model::JobSpec &spec, base::SteadyTime now) override;
    void restore(const model::JobSpec &spec, base::SteadyTime now) override;
    void
    adoptTask(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now) override;
    void cancel(const model::JobId &job, base::SteadyTime now) override;
    void taskStarted(const model::JobId &job, std::uint32_t task, base::SteadyTime now) override;
    void taskEnded(const model::JobId &job, std::uint32_t task, TaskEnd end, bool requeue, base::SteadyTime now) override;
    void reportUsage(const model::JobId &job, std::uint32_t task, const model::Resources &used, base::SteadyTime now) override;
    std::vector<Decision> plan(base::SteadyTime now, std::size_t maxDecisions) override;
    std::string explain(const model::JobId &job, base::SteadyTime now) const override;
    std::vector<PartnerShare> shares(base::SteadyTime now) const override;
    LoadView load(base::SteadyTime now) const override;

private:
    JobEntry makeEntry(const model::JobSpec &spec, base::SteadyTime now);
    void refuse(JobIndex job, base::ResultCode code, const std::string &reason);
    void refuseLateRequests(base::SteadyTime now);
    void refuseImpossibleJobs();
    std::uint32_t countFreeRequestSlots() const;
    std::vector<Decision> takeDecisions(std::size_t maxDecisions);
    bool revokeIfObsolete(const Decision &decision);

    ZoneState zone;
    GangReserver gangReserver{zone};
    RequestHeadroom headroom;
    Admission admission{zone};
    Learner learner{zone};
    Starter starter{zone, gangReserver, headroom};
    Preemptor preemptor{zone};
    Drainer drainer{zone};
    Consolidator consolidator{zone};
    Explainer explainer{zone, gangReserver};
    bool limitsChanged = false;
};

} // namespace cranberryreel::policy
