#pragma once

#include "policy/Planner.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::policy
{

/// A planner with helper functions that build its zone, and a clock that tests advance by hand.
struct ZoneFixture {
    std::unique_ptr<Planner> planner = makePlanner();
    base::SteadyTime now{std::chrono::hours(1)};

    /// Adds a VM with one upstream, "<vm>-up".
    void
    addVm(const std::string &vm, const model::Resources &capacity, std::uint32_t slots = 8, const std::string &rack = "r1", const std::string &service = "")
    {
        this->planner->setVm({vm, rack, capacity, false});
        this->planner->setUpstream({vm + "-up", vm, service, slots, true}, this->now);
    }

    static model::JobSpec
    spec(const std::string &id, model::JobKind kind, const model::Resources &size, std::uint32_t tasks = 1, const std::string &partner = "a")
    {
        model::JobSpec spec;
        spec.id = id;
        spec.kind = kind;
        spec.partner = partner;
        spec.name = "work";
        spec.tasks = tasks;
        spec.perTask = size;
        return spec;
    }

    base::ResultCode enqueue(const model::JobSpec &spec)
    {
        return this->planner->enqueue(spec, this->now).code;
    }

    std::vector<Decision> plan(std::size_t maxDecisions = 100000)
    {
        return this->planner->plan(this->now, maxDecisions);
    }

    /// Plans and confirms every start.
    std::vector<Decision> planAndStart()
    {
        std::vector<Decision> decisions = this->plan();
        for (const Decision &decision : decisions) {
            if (decision.kind == DecisionKind::Start) {
                this->planner->taskStarted(decision.job, decision.task, this->now);
            }
        }
        return decisions;
    }

    void endTask(const std::string &job, std::uint32_t task = 0, TaskEnd taskEnd = TaskEnd::Done, bool requeue = false)
    {
        this->planner->taskEnded(job, task, taskEnd, requeue, this->now);
    }

    static std::size_t count(const std::vector<Decision> &decisions, DecisionKind kind, const std::string &job = "")
    {
        std::size_t matching = 0;
        for (const Decision &decision : decisions) {
            matching += decision.kind == kind && (job.empty() || decision.job == job) ? 1 : 0;
        }
        return matching;
    }
};

} // namespace cranberryreel::policy
