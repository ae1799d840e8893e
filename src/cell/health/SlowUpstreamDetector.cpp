#include "cell/health/SlowUpstreamDetector.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cranberryreel::cell::health
{

namespace
{

using std::chrono::milliseconds;

/// A task that takes this many times longer than its siblings is late; tasks of one step normally differ by less than a third.
constexpr int LateFactor = 2;
/// The same factor when only the estimate is known, which is off by as much as nine tenths.
constexpr int LateFactorOfEstimate = 4;
/// Added to the late limit, so that short tasks are not late by a small delay.
constexpr milliseconds LateSlack{300};
/// Late tasks of at least this many steps show that their upstream is slow, and not the tasks' own work.
constexpr std::size_t MinLateSteps = 2;
/// A task whose reports show no progress for longer than this has stalled.
constexpr milliseconds StallTime{1300};
/// Reports older than this are ignored, since this VM itself may have been frozen.
constexpr milliseconds MaxReportAge{2300};
/// An upstream whose usual speed is lower still counts as slow, since work does better elsewhere.
constexpr double LeastUsualSpeed = 0.5;
/// A run with this attempt number or a higher one is not moved.
constexpr std::uint32_t MoveAttemptLimit = 4;

bool isLate(const TrackedRun &track, milliseconds typical, int factor, base::SteadyTime now)
{
    return typical.count() > 0 && now - track.lastListedAt < MaxReportAge && now - track.startedAt > factor * typical + LateSlack;
}

bool isStalled(const TrackedRun &track)
{
    return track.percent >= 0 && track.lastListedAt - track.lastProgressAt > StallTime;
}

/// True when the rest of the run, at its own pace, takes longer than a whole run elsewhere.
bool shouldMove(const TrackedRun &track, milliseconds typical, base::SteadyTime now)
{
    if (track.key.attempt >= MoveAttemptLimit) {
        return false;
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - track.startedAt);
    const int percent = std::max(track.percent, 1);
    return isStalled(track) || elapsed * (100 - percent) / percent > typical;
}

} // namespace

void SlowUpstreamDetector::recordCompletion(const StepKey &step, milliseconds time, double usualSpeed)
{
    Durations &measured = this->durations[step];
    measured.total += time;
    measured.totalAtNominalSpeed += usualSpeed * time;
    ++measured.count;
}

milliseconds SlowUpstreamDetector::typicalDuration(const StepKey &key, const wire::StepT &step, std::optional<double> speed) const
{
    const auto found = this->durations.find(key);
    if (!speed) {
        return found == this->durations.end() ? milliseconds(step.estimate_ms) : found->second.total / found->second.count;
    }
    const std::chrono::duration<double, std::milli> nominal =
        found == this->durations.end() ? milliseconds(step.estimate_ms) : found->second.totalAtNominalSpeed / found->second.count;
    return std::chrono::duration_cast<milliseconds>(nominal / std::max(*speed, LeastUsualSpeed));
}

std::vector<SlowUpstream> SlowUpstreamDetector::detect(const CellState &state, RunTable &runs, base::SteadyTime now, const UpstreamSpeeds *speeds) const
{
    const bool uneven = speeds != nullptr && speeds->isUneven();
    struct Suspect {
        std::set<StepKey> steps;
        bool stalled = false;
        std::vector<RunKey> runsToMove;
    };
    std::map<std::uint64_t, Suspect> suspects;
    for (const auto &[key, track] : runs.all()) {
        const wire::JobT *job = track.phase == RunPhase::Confirmed && !track.endProposed ? state.job(key.task.step.job) : nullptr;
        if (job == nullptr) {
            continue;
        }
        const wire::StepT &step = *job->spec->steps[key.task.step.step];
        const bool measured = this->durations.count(key.task.step) > 0;
        const std::optional<double> speed = uneven ? std::optional<double>(speeds->usualSpeedOf(track.upstream)) : std::nullopt;
        const milliseconds typical = this->typicalDuration(key.task.step, step, speed);
        if (step.lasting || step.gang || step.filler || !isLate(track, typical, measured ? LateFactor : LateFactorOfEstimate, now)) {
            continue;
        }
        Suspect &suspect = suspects[track.upstream];
        suspect.steps.insert(key.task.step);
        suspect.stalled = suspect.stalled || isStalled(track);
        if (shouldMove(track, this->typicalDuration(key.task.step, step, uneven ? std::optional<double>(1.0) : std::nullopt), now)) {
            suspect.runsToMove.push_back(key);
        }
    }
    std::vector<SlowUpstream> slow;
    for (auto &[upstream, suspect] : suspects) {
        if (suspect.stalled || suspect.steps.size() >= MinLateSteps) {
            slow.push_back({upstream, std::move(suspect.runsToMove)});
        }
    }
    return slow;
}

void SlowUpstreamDetector::eraseClosedJobs(const CellState &state)
{
    for (auto at = this->durations.begin(); at != this->durations.end();) {
        at = state.openJobs().count(at->first.job) > 0 ? std::next(at) : this->durations.erase(at);
    }
}

} // namespace cranberryreel::cell::health
