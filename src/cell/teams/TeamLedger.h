#pragma once

#include "cell/CellState.h"
#include "cell/planning/Capacity.h"
#include "cell/planning/ReadySteps.h"
#include "cell/teams/TeamUse.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::cell::teams
{

/// Tells how much more each team may start under its quota. Everything is derived from the replicated state, so a new leader knows the usage before its first
/// plan: a run counts from the commit of its placement until the commit of its end, whatever its upstream last reported.
/// Load pattern: a few large teams want more than their quotas all the time, so every start is decided at the edge of a quota; small steps of a team would keep
/// a gang of the same team waiting for ever. Owned by the Planner, for one plan; counts the plan's starts as they are made. Not thread-safe.
class TeamLedger
{
public:
    explicit TeamLedger(const CellState &cellState);

    /// Whether the rules have teams. Without them nothing is limited and nothing is counted.
    bool hasTeams() const
    {
        return !this->accounts.empty();
    }

    /// How many of these tasks of the step its team's quota leaves: of a gang, all of its waiting tasks or none. None while the team's later steps are held
    /// back.
    std::uint32_t fitting(const planning::ReadyStep &ready, std::uint32_t tasks) const;

    /// The same, less the tasks that advice was requested for already.
    std::uint32_t requestable(const planning::ReadyStep &ready, std::uint32_t tasks) const;

    void recordStart(const planning::ReadyStep &ready);
    /// Undoes recordStart().
    void undoStart(const planning::ReadyStep &ready);

    /// Counts tasks that advice was requested for.
    void recordRequest(const planning::ReadyStep &ready, std::uint32_t tasks);

    /// Called for a step that waits for its quota. A gang, or a step that is long overdue, holds back the steps of its team that are later in the order, unless
    /// it could not start even after all other work of the team that ends by itself.
    void recordWaitForQuota(const planning::ReadyStep &ready);

    /// Sets a part of the quota aside for a gang whose upstreams are reserved. Otherwise later steps of the team could use it up before the upstreams are free,
    /// and the gang would wait for quota and capacity by turns.
    void setAside(const planning::ReadyStep &gang);

    /// Index of the step's team in uses(); 0 for steps without a team. Call only if hasTeams().
    std::size_t teamIndexOf(const planning::ReadyStep &ready) const;
    std::size_t teamIndexOf(const std::string &team) const;

    std::vector<TeamUse> uses() const;

    /// Capacity of all upstreams of the cell, used or not.
    const planning::Capacity &total() const
    {
        return this->cellTotal;
    }

    const CellState &cellState() const
    {
        return this->state;
    }

private:
    struct Account {
        TeamUse use;
        planning::Capacity lasting; ///< Part of `use.running` that does not end by itself.
        planning::Capacity requested; ///< Tasks that advice was requested for.
        planning::Capacity reserved; ///< Set aside for gangs.
        bool holdsBack = false;
    };

    std::size_t addAccount(const std::string &name, double weight);
    const Account &accountOf(const planning::ReadyStep &ready) const;
    Account &accountOf(const planning::ReadyStep &ready);
    void addRuns();

    const CellState &state;
    std::vector<Account> accounts; ///< Empty when the rules have no teams; otherwise the first is for jobs without a team.
    absl::flat_hash_map<std::string, std::size_t> indices; ///< By team name.
    planning::Capacity cellTotal;
};

} // namespace cranberryreel::cell::teams
