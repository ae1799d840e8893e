#include "cell/teams/FreedCapacity.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cranberryreel::cell::teams
{

double FreedCapacity::free(std::size_t dimension) const
{
    return std::max(this->capacity[dimension] - this->used[dimension], 0.0);
}

bool FreedCapacity::canHaveStarted(std::size_t dimension, const Backlog &backlog, std::chrono::milliseconds by) const
{
    const auto time = static_cast<double>(by.count());
    const auto taskTime = static_cast<double>(backlog.taskTime.count());
    const auto &ends = this->releases[dimension];
    const auto next = std::upper_bound(ends.begin(), ends.end(), time, [](double limit, const Release &release) { return limit < release.time; });
    const Release ended = next == ends.begin() ? Release() : *std::prev(next);
    const double running = this->used[dimension] - ended.amount;
    const double freed = std::max(this->capacity[dimension] - running, 0.0);
    const double processed = this->capacity[dimension] * time - ended.work - running * time;
    // All that is freed has started one task at least.
    const double started = std::max(processed + freed * taskTime / 2, freed * taskTime);
    return started >= backlog.work + backlog.arrivals * static_cast<double>(std::max(by - backlog.arrivalsFrom, std::chrono::milliseconds(0)).count());
}

/// Where more work arrives than the capacity can take, a start is possible only until the arrivals have outgrown what was freed, so that a bisection over the
/// whole horizon would miss it. What is freed grows in steps at the releases and evenly after them.
std::chrono::milliseconds FreedCapacity::earliestStart(std::size_t dimension, const Backlog &backlog) const
{
    std::int64_t early = 0;
    std::int64_t late = 0;
    const auto tryNext = [&](std::int64_t next) {
        early = late;
        late = next;
        return this->canHaveStarted(dimension, backlog, std::chrono::milliseconds(late));
    };
    bool found = tryNext(0);
    for (const Release &release : this->releases[dimension]) {
        if (found) {
            break;
        }
        found = tryNext(static_cast<std::int64_t>(std::ceil(release.time)));
    }
    while (!found && late < Horizon.count()) {
        found = tryNext(std::min(std::max<std::int64_t>(2 * late, 1), Horizon.count()));
    }
    while (early < late) {
        const std::int64_t middle = early + (late - early) / 2;
        if (this->canHaveStarted(dimension, backlog, std::chrono::milliseconds(middle))) {
            late = middle;
        } else {
            early = middle + 1;
        }
    }
    return std::chrono::milliseconds(early);
}

FreedCapacity FreedCapacity::Builder::build()
{
    FreedCapacity made;
    made.capacity = this->capacity;
    std::sort(this->runs.begin(), this->runs.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[remaining, demand] : this->runs) {
        made.used.add(demand);
        const auto time = static_cast<double>(remaining.count());
        for (std::size_t d = 0; d < Amounts::Dimensions; ++d) {
            if (demand[d] > 0) {
                auto &ends = made.releases[d];
                const Release before = ends.empty() ? Release() : ends.back();
                ends.push_back({time, before.amount + demand[d], before.work + demand[d] * time});
            }
        }
    }
    return made;
}

} // namespace cranberryreel::cell::teams
