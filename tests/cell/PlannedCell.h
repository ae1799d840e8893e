#pragma once

#include "cell/CellSamples.h"
#include "cell/planning/Planner.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cranberryreel::support
{

/// Speeds that a test sets.
struct FixedSpeeds : cell::health::SpeedSource {
    std::map<std::uint64_t, double> byUpstream;
    bool uneven = true;

    double speedOf(std::uint64_t upstream) const override
    {
        const auto found = this->byUpstream.find(upstream);
        return found == this->byUpstream.end() ? 1.0 : found->second;
    }

    bool isUneven() const override
    {
        return this->uneven;
    }
};

/// A cell whose upstreams have all been read back, for plans at one fixed time.
struct PlannedCell {
    cell::CellState state;
    std::map<std::uint64_t, cell::UpstreamTracker> trackers;
    cell::AdviceCache advice;
    std::map<cell::TaskKey, std::set<std::uint64_t>> failedUpstreams;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt;
    std::map<cell::RunKey, cell::planning::RunView> runViews;
    FixedSpeeds speeds;
    bool considersSpeed = false;
    double farRackFactor = 1.5;
    cell::planning::UrgentDemand urgentDemand;
    cell::planning::HoldTerms holdTerms;
    const base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1);

    PlannedCell()
    {
        this->state.apply(put(rules(1)));
    }

    void addUpstream(const std::string &id, std::uint32_t cpuMillis)
    {
        this->addUpstream(upstream(id, cpuMillis));
    }

    void addUpstream(std::unique_ptr<cell::wire::UpstreamT> added)
    {
        const std::string id = added->id;
        this->state.apply(announce(std::move(added)));
        cell::UpstreamTracker tracker(std::chrono::milliseconds(6000), this->now);
        tracker.readBack = true;
        this->trackers.emplace(this->state.upstreamNamed(id)->number, tracker);
    }

    /// Accepts the job at `now`; returns its number.
    std::uint64_t accept(std::unique_ptr<cell::wire::JobSpecT> spec)
    {
        const std::string id = spec->id;
        this->state.apply(support::accept(std::move(spec)));
        const std::uint64_t number = this->state.jobNamed(id)->number;
        this->acceptedAt[number] = this->now;
        return number;
    }

    /// Records a run of the task on the upstream, confirmed and with this progress.
    void addRun(const cell::TaskKey &task, std::uint64_t upstream, int percent = 0)
    {
        this->state.apply(place(task, 1, upstream));
        this->runViews[{task, 1}] = {false, true, percent};
    }

    /// Gives the step fresh tickets for these upstreams.
    void addTickets(const cell::StepKey &step, const std::set<std::uint64_t> &upstreams)
    {
        for (const std::uint64_t upstream : upstreams) {
            const base::SteadyTime until = this->now + std::chrono::seconds(2);
            this->advice.adviceFor(step).queried.insert(upstream);
            this->advice.adviceFor(step).allowed[upstream] = {"ticket", until, this->trackers.at(upstream).incarnation, until};
        }
    }

    cell::planning::Plan plan()
    {
        return this->plan(this->now);
    }

    cell::planning::Plan plan(base::SteadyTime time)
    {
        const auto view = [this](const cell::RunKey &key) { return this->runViews[key]; };
        cell::planning::PlanInput input{this->state, this->trackers, this->advice, this->failedUpstreams, this->acceptedAt, time, view};
        input.speeds = this->considersSpeed ? &this->speeds : nullptr;
        input.urgentDemand = &this->urgentDemand;
        input.holdTerms = &this->holdTerms;
        input.farRackFactor = this->farRackFactor;
        return cell::planning::Planner(input).makePlan();
    }
};

} // namespace cranberryreel::support
