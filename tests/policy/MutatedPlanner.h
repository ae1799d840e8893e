#pragma once

#include "policy/Planner.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::policy
{

/// A fault that MutatedPlanner injects between a test and the planner.
enum class Mutation : std::uint8_t {
    None,
    DoublesCapacity,
    AddsOneSlot,
    IgnoresLeaving,
    IgnoresDraining,
    ReservesLessThanDeclared,
    StartsTaskTwice,
    IgnoresCancel,
    LosesStart,
    GangAsBatch,
    PreemptsServices,
    IgnoresService,
    IgnoresVmRemoval,
    RerunsFinishedTasks,
};

/// Wraps the real planner and injects one fault, to show that ZoneOracle detects it. Owned by the test that makes it; used by one thread.
class MutatedPlanner : public Planner
{
public:
    explicit MutatedPlanner(Mutation chosenMutation)
        : mutation(chosenMutation)
    {
    }

    void setRules(const RulesView &rules) override
    {
        this->real->setRules(rules);
    }

    void setVm(const VmView &view) override
    {
        VmView vm = view;
        vm.capacity = this->mutation == Mutation::DoublesCapacity ? vm.capacity + vm.capacity : vm.capacity;
        vm.draining = vm.draining && this->mutation != Mutation::IgnoresDraining;
        this->real->setVm(vm);
    }

    void removeVm(const std::string &vm) override
    {
        if (this->mutation != Mutation::IgnoresVmRemoval) {
            this->real->removeVm(vm);
        }
    }

    void setUpstream(const UpstreamView &view, base::SteadyTime now) override
    {
        UpstreamView upstream = view;
        upstream.slots += this->mutation == Mutation::AddsOneSlot ? 1 : 0;
        upstream.accepting = upstream.accepting || this->mutation == Mutation::IgnoresLeaving;
        this->real->setUpstream(upstream, now);
    }

    void removeUpstream(const std::string &id, base::SteadyTime now) override
    {
        if (this->mutation != Mutation::IgnoresLeaving) {
            this->real->removeUpstream(id, now);
        }
    }

    Decision enqueue(const model::JobSpec &spec, base::SteadyTime now) override
    {
        return this->real->enqueue(this->mutated(spec), now);
    }

    void restore(const model::JobSpec &spec, base::SteadyTime now) override
    {
        this->real->restore(this->mutated(spec), now);
    }

    void adoptTask(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now) override
    {
        this->real->adoptTask(spec, task, upstream, reserved, now);
    }

    void cancel(const model::JobId &job, base::SteadyTime now) override
    {
        if (this->mutation != Mutation::IgnoresCancel) {
            this->real->cancel(job, now);
        }
    }

    void taskStarted(const model::JobId &job, std::uint32_t task, base::SteadyTime now) override
    {
        this->real->taskStarted(job, task, now);
    }

    void taskEnded(const model::JobId &job, std::uint32_t task, TaskEnd end, bool requeue, base::SteadyTime now) override
    {
        const bool reruns = this->mutation == Mutation::RerunsFinishedTasks && end == TaskEnd::Done;
        this->real->taskEnded(job, task, reruns ? TaskEnd::Preempted : end, requeue, now);
    }

    void reportUsage(const model::JobId &job, std::uint32_t task, const model::Resources &used, base::SteadyTime now) override
    {
        this->real->reportUsage(job, task, used, now);
    }

    std::vector<Decision> plan(base::SteadyTime now, std::size_t maxDecisions) override
    {
        std::vector<Decision> decisions = this->real->plan(now, maxDecisions);
        if (decisions.empty() || decisions.front().kind != DecisionKind::Start) {
            return decisions;
        }
        if (this->mutation == Mutation::StartsTaskTwice) {
            decisions.push_back(decisions.front());
        } else if (this->mutation == Mutation::LosesStart) {
            decisions.erase(decisions.begin());
        } else if (this->mutation == Mutation::PreemptsServices) {
            decisions.push_back(decisions.front());
            decisions.back().kind = DecisionKind::Preempt;
        }
        return decisions;
    }

    std::string explain(const model::JobId &job, base::SteadyTime now) const override
    {
        return this->real->explain(job, now);
    }

    std::vector<PartnerShare> shares(base::SteadyTime now) const override
    {
        return this->real->shares(now);
    }

    LoadView load(base::SteadyTime now) const override
    {
        return this->real->load(now);
    }

private:
    model::JobSpec mutated(model::JobSpec spec) const
    {
        spec.service = this->mutation == Mutation::IgnoresService ? "" : spec.service;
        spec.kind = this->mutation == Mutation::GangAsBatch && spec.kind == model::JobKind::Gang ? model::JobKind::Batch : spec.kind;
        if (this->mutation == Mutation::ReservesLessThanDeclared) {
            spec.perTask.cpuMillis /= 2;
        }
        return spec;
    }

    Mutation mutation;
    std::unique_ptr<Planner> real = makePlanner();
};

} // namespace cranberryreel::policy
