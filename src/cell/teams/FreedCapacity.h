#pragma once

#include "cell/teams/Amounts.h"

#include <array>
#include <chrono>
#include <utility>
#include <vector>

namespace cranberryreel::cell::teams
{

/// When a bounded capacity, of a service or of a team's quota, is free again, from the estimated remaining times of the runs that use it. Immutable; made by
/// its Builder. Owned by the LoadSnapshot.
class FreedCapacity
{
public:
    class Builder;

    /// Later times are reported as this one; it lies far beyond every objective.
    static constexpr std::chrono::milliseconds Horizon{3600000};

    FreedCapacity() = default;

    double total(std::size_t dimension) const
    {
        return this->capacity[dimension];
    }

    double free(std::size_t dimension) const;

    /// Work that waits for capacity in one dimension.
    struct Backlog {
        double work = 0; ///< Waits now.
        std::chrono::milliseconds taskTime{0}; ///< Mean run time of its tasks.
        double arrivals = 0; ///< Work per millisecond that comes later and goes first.
        std::chrono::milliseconds arrivalsFrom{0}; ///< No arrival goes first before this time.
    };

    /// The earliest time by which all tasks of the backlog can have started. The capacity counts as one piece, and of the tasks that run then half is left on
    /// average.
    std::chrono::milliseconds earliestStart(std::size_t dimension, const Backlog &backlog) const;

private:
    /// Runs that end by `time`, in total: the capacity that they use, and that times their remaining times.
    struct Release {
        double time = 0;
        double amount = 0;
        double work = 0;
    };

    bool canHaveStarted(std::size_t dimension, const Backlog &backlog, std::chrono::milliseconds time) const;

    Amounts capacity;
    Amounts used;
    std::array<std::vector<Release>, Amounts::Dimensions> releases; ///< Cumulative, by time.
};

/// Collects the runs in any order.
class FreedCapacity::Builder
{
public:
    void setCapacity(const Amounts &amounts)
    {
        this->capacity = amounts;
    }

    void addRun(const Amounts &demand, std::chrono::milliseconds remaining)
    {
        this->runs.emplace_back(remaining, demand);
    }

    FreedCapacity build();

private:
    Amounts capacity;
    std::vector<std::pair<std::chrono::milliseconds, Amounts>> runs;
};

} // namespace cranberryreel::cell::teams
