#include "cell/planning/Preemptor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryreel::cell::planning
{

namespace
{

/// A run with this attempt number or a higher one is not preempted, so that its task can finish.
constexpr std::uint32_t PreemptionAttemptLimit = 10;
/// A run with more progress than this ends soon by itself and is not preempted.
constexpr int NearlyDonePercent = 85;

/// Time that a preemption costs the stopped job: the stop, the report of its end, another advice query and the new start.
constexpr std::chrono::milliseconds PreemptionOverhead{2000};

} // namespace

Preemptor::Preemptor(const PlanInput &planInput, CapacityTable &capacityTable)
    : input(planInput)
    , capacities(capacityTable)
{
}

bool Preemptor::canPreempt(const Victim &victim, const ReadyStep &ready)
{
    return !isBeyondRate(ready) && victim.priority > ready.queue->priority && victim.slackTime >= PreemptionOverhead;
}

void Preemptor::collectVictims()
{
    if (std::exchange(this->collected, true) || !this->input.viewRun) {
        return;
    }
    const DeadlineEstimator deadlines(this->input.acceptedAt, this->input.now);
    forEachRun(this->input.state, [this, &deadlines](const wire::RunT &run, const wire::StepT &step, const wire::JobT &job, const TaskKey &task) {
        UpstreamCapacity *capacity = this->capacities.find(run.upstream);
        const wire::QueueT *queue = this->input.state.queueOf(*job.spec);
        if (capacity == nullptr || !capacity->usable || queue == nullptr) {
            return;
        }
        const RunKey key{task, run.attempt};
        const RunView view = this->input.viewRun(key);
        if (view.stopping) {
            capacity->freeAfterStops.release(step);
            this->stopping.insert(key);
        } else if (view.confirmed && view.percent <= NearlyDonePercent && isPreemptible(step) && run.attempt < PreemptionAttemptLimit) {
            if (const auto estimate = deadlines.estimate(job, task.step.occurrence, queue)) {
                this->victims[run.upstream].push_back({key, queue->priority, view.percent, &step, estimate->slackTime});
            }
        }
    });
    for (auto &[upstream, victimsHere] : this->victims) {
        std::sort(victimsHere.begin(), victimsHere.end(), [](const Victim &left, const Victim &right) {
            return std::make_tuple(-left.priority, left.percent, left.run.task.step.job)
                < std::make_tuple(-right.priority, right.percent, right.run.task.step.job);
        });
    }
}

std::vector<Preemptor::Victim> &Preemptor::victimsOn(const UpstreamCapacity &capacity)
{
    this->collectVictims();
    return this->victims[capacity.upstream->number];
}

Capacity Preemptor::reclaimableCapacity(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    const std::vector<Victim> &victimsHere = this->victimsOn(capacity);
    Capacity available = capacity.freeAfterStops;
    for (const Victim &victim : victimsHere) {
        if (canPreempt(victim, ready)) {
            available.release(*victim.step);
        }
    }
    return available;
}

bool Preemptor::isReclaimable(const ReadyStep &ready, const UpstreamCapacity &capacity, const RunKey &run)
{
    const std::vector<Victim> &victimsHere = this->victimsOn(capacity);
    const auto isRun = [&run](const Victim &victim) { return !(victim.run < run) && !(run < victim.run); };
    const auto found = std::find_if(victimsHere.begin(), victimsHere.end(), isRun);
    return this->stopping.count(run) > 0 || (found != victimsHere.end() && canPreempt(*found, ready));
}

std::vector<std::size_t> Preemptor::victimsFor(const ReadyStep &ready, const UpstreamCapacity &capacity, bool &enough)
{
    const std::vector<Victim> &victimsHere = this->victimsOn(capacity);
    Capacity available = capacity.freeAfterStops;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < victimsHere.size() && available.countFitting(*ready.step, 1) == 0; ++i) {
        if (canPreempt(victimsHere[i], ready)) {
            available.release(*victimsHere[i].step);
            chosen.push_back(i);
        }
    }
    enough = available.countFitting(*ready.step, 1) > 0;
    return chosen;
}

std::optional<std::size_t> Preemptor::preemptionCost(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    bool enough = false;
    const std::size_t count = this->victimsFor(ready, capacity, enough).size();
    return enough ? std::optional<std::size_t>(count) : std::nullopt;
}

bool Preemptor::preemptFor(const ReadyStep &ready, UpstreamCapacity &capacity)
{
    bool enough = false;
    const std::vector<std::size_t> chosen = this->victimsFor(ready, capacity, enough);
    if (!enough) {
        return false;
    }
    std::vector<Victim> &victimsHere = this->victimsOn(capacity);
    for (auto index = chosen.rbegin(); index != chosen.rend(); ++index) {
        capacity.freeAfterStops.release(*victimsHere[*index].step);
        this->preemptions.push_back(victimsHere[*index].run);
        victimsHere.erase(victimsHere.begin() + static_cast<std::ptrdiff_t>(*index));
    }
    capacity.freeAfterStops.allocate(*ready.step);
    return true;
}

std::vector<RunKey> Preemptor::takePreemptions()
{
    return std::move(this->preemptions);
}

} // namespace cranberryreel::cell::planning
