#pragma once

#include "cell/CellState.h"
#include "cell/planning/DeadlineEstimator.h"
#include "cell/teams/Amounts.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace cranberryreel::cell::teams
{

/// What a job needs and where it stands in the order of waiting steps: a job that is submitted, or the rest of one that waits. A plain value.
struct JobDemand {
    std::string service;
    std::string team; ///< Empty for jobs without a team.
    bool beyondRate = false;
    int priority = 0;
    planning::Timeliness timeliness = planning::Timeliness::OnTime;
    Amounts work; ///< Of the tasks that wait, by their estimates.
    std::uint32_t tasks = 0; ///< That wait.
    std::chrono::milliseconds taskTime{0}; ///< Estimated time of these tasks, in total.
    double size = 0; ///< Work by processor time: within a team smaller jobs go first.

    /// Adds so many waiting tasks of the step.
    void addTasks(const wire::StepT &step, std::uint32_t count);

    /// The place in the order, up to the choice between teams.
    auto orderClass() const
    {
        return std::make_tuple(this->beyondRate, this->priority, this->timeliness);
    }
};

/// A job that is being submitted. A plain value.
struct Submission {
    JobDemand demand;
    std::string id;
    std::chrono::milliseconds objective{0}; ///< For its latency; 0: none.
    std::chrono::milliseconds chain{0}; ///< The longest chain of estimates.
    Amounts firstTask; ///< What one task of its first step uses.
    std::chrono::milliseconds firstTaskTime{0};

    /// Empty for jobs without a deadline: those with a lasting step, and repeated ones.
    static std::optional<Submission> of(const wire::JobSpecT &spec, const wire::QueueT &queue);
};

} // namespace cranberryreel::cell::teams
