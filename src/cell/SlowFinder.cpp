#include "cell/SlowFinder.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cranberryreel::cell
{

namespace
{

using std::chrono::milliseconds;

/// A task that takes this much longer than its siblings is late; the sheets' tasks of one step differ by less than a third.
constexpr int LateFactor = 2;
/// Estimates are off by as much as nine tenths.
constexpr int LateFactorByEstimate = 4;
constexpr milliseconds LateSlack{300};
/// Late tasks of so many steps tell of their upstream, and not of themselves.
constexpr std::size_t StepsToTell = 2;
/// A task that was seen twice in this time without progress stands still.
constexpr milliseconds StandsStill{1300};
/// What was seen longer ago says nothing; this VM may have stood still itself.
constexpr milliseconds FreshSight{2300};
/// A task is moved so often at most.
constexpr std::uint32_t MostAttempts = 4;

bool isLate(const TrackedRun &track, milliseconds usual, int factor, base::SteadyTime now)
{
    return usual.count() > 0 && now - track.lastListedAt < FreshSight && now - track.startedAt > factor * usual + LateSlack;
}

bool standsStill(const TrackedRun &track)
{
    return track.percent >= 0 && track.lastListedAt - track.lastProgressAt > StandsStill;
}

/// What is left of it, by its own progress, takes longer than all of it would elsewhere.
bool worthMoving(const TrackedRun &track, milliseconds usual, base::SteadyTime now)
{
    if (track.key.attempt >= MostAttempts) {
        return false;
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - track.startedAt);
    const int percent = std::max(track.percent, 1);
    return standsStill(track) || elapsed * (100 - percent) / percent > usual;
}

} // namespace

void SlowFinder::done(const StepKey &step, milliseconds time)
{
    Times &known = this->times[step];
    known.total += time;
    ++known.count;
}

milliseconds SlowFinder::usual(const StepKey &key, const wire::StepT &step) const
{
    const auto known = this->times.find(key);
    return known == this->times.end() ? milliseconds(step.estimate_ms) : known->second.total / known->second.count;
}

std::vector<SlowUpstream> SlowFinder::find(const CellState &state, RunTable &runs, base::SteadyTime now) const
{
    struct Suspect {
        std::set<StepKey> steps;
        bool still = false;
        std::vector<RunKey> late;
    };
    std::map<std::uint64_t, Suspect> suspects;
    for (const auto &[key, track] : runs.all()) {
        const wire::JobT *job = track.phase == RunPhase::Confirmed && !track.endProposed ? state.job(key.task.step.job) : nullptr;
        if (job == nullptr) {
            continue;
        }
        const wire::StepT &step = *job->spec->steps[key.task.step.step];
        const bool measured = this->times.count(key.task.step) > 0;
        const milliseconds usual = this->usual(key.task.step, step);
        if (step.lasting || step.gang || step.filler || !isLate(track, usual, measured ? LateFactor : LateFactorByEstimate, now)) {
            continue;
        }
        Suspect &suspect = suspects[track.upstream];
        suspect.steps.insert(key.task.step);
        suspect.still = suspect.still || standsStill(track);
        if (worthMoving(track, usual, now)) {
            suspect.late.push_back(key);
        }
    }
    std::vector<SlowUpstream> slow;
    for (auto &[upstream, suspect] : suspects) {
        if (suspect.still || suspect.steps.size() >= StepsToTell) {
            slow.push_back({upstream, std::move(suspect.late)});
        }
    }
    return slow;
}

void SlowFinder::keepOnly(const CellState &state)
{
    for (auto at = this->times.begin(); at != this->times.end();) {
        at = state.openJobs().count(at->first.job) > 0 ? std::next(at) : this->times.erase(at);
    }
}

} // namespace cranberryreel::cell
