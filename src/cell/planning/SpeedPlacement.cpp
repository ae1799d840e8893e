#include "cell/planning/SpeedPlacement.h"

#include "cell/planning/AlikeUpstreams.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryreel::cell::planning
{

namespace
{

/// From this number of failures in a row, of different jobs, the upstream ranks behind reliable ones of any speed. An upstream whose tasks fail at once is
/// always free, and if it counts as fast it would attract all urgent work.
constexpr int UnreliableFailures = 2;
/// Ranks of unreliable upstreams come after those of all classes.
constexpr int UnreliableRank = 16;

/// The use on an upstream converted to fast ones, where the same work takes less time.
std::int64_t onFastUpstreams(std::int64_t cpuMillis, const UpstreamCapacity &capacity, const FastCapacity &fast)
{
    return static_cast<std::int64_t>(static_cast<double>(cpuMillis) * std::min(capacity.speed / fast.reference(), 1.0));
}

} // namespace

const FastCapacity *keptForUrgent(const ReadyStep &ready, const ServicePool &pool, const UpstreamCapacity &capacity)
{
    return pool.fast && !countsAsUrgent(ready) && pool.fast->contains(capacity) ? &*pool.fast : nullptr;
}

SpeedPlacement::SpeedPlacement(const PlanInput &planInput, CapacityTable &capacities, std::map<std::string, ServicePool> &pools)
    : input(planInput)
    , deadlines(planInput.acceptedAt, planInput.now, &expected)
    , releases(planInput)
{
    if (planInput.speeds == nullptr || !planInput.speeds->isUneven()) {
        return;
    }
    this->expected.source = planInput.speeds;
    for (auto &[service, pool] : pools) {
        std::vector<double> speeds;
        for (const UpstreamCapacity *capacity : pool.capacities) {
            if (capacity->usable) {
                speeds.push_back(capacity->speed);
            }
        }
        if (const std::optional<double> reference = referenceSpeed(std::move(speeds))) {
            pool.fast.emplace(*reference);
            this->expected.urgentByService[service] = *reference;
            for (const UpstreamCapacity *capacity : pool.capacities) {
                if (capacity->usable) {
                    pool.fast->add(*capacity);
                }
            }
        }
    }
    this->addUrgentUse(capacities, pools);
}

void SpeedPlacement::addUrgentUse(CapacityTable &capacities, std::map<std::string, ServicePool> &pools) const
{
    for (const std::uint64_t number : this->input.state.openJobs()) {
        const wire::JobT &job = *this->input.state.job(number);
        const wire::QueueT *queue = this->input.state.queueOf(*job.spec);
        if (queue == nullptr || queue->priority != 0 || job.spec->beyond_rate) {
            continue;
        }
        const auto pool = pools.find(queue->service);
        if (pool == pools.end() || !pool->second.fast) {
            continue;
        }
        forEachRunOf(job, [&](const wire::RunT &run, const wire::StepT &step, const TaskKey &) {
            if (const UpstreamCapacity *capacity = capacities.find(run.upstream)) {
                pool->second.fast->addUrgentUse(onFastUpstreams(step.cpu_millis, *capacity, *pool->second.fast));
            }
        });
    }
    for (auto &[service, pool] : pools) {
        if (pool.fast && this->input.urgentDemand != nullptr) {
            this->input.urgentDemand->record(service, pool.fast->urgentUse(), this->input.now);
            pool.fast->expectUrgent(this->input.urgentDemand->peak(service, this->input.now));
        }
    }
}

SpeedPreference SpeedPlacement::preferenceFor(const ReadyStep &ready, const ServicePool &pool) const
{
    if (!pool.fast) {
        return {};
    }
    const double speed = ready.queue == nullptr ? 1.0 : this->expected.ofWaiting(*ready.queue);
    return {ready, this->deadlines.estimate(*ready.job, ready.key.occurrence, ready.queue), pool.fast->reference(), speed};
}

int SpeedPlacement::rankOf(const SpeedPreference &preference, const UpstreamCapacity &capacity, bool offRack) const
{
    if (!preference.isSet()) {
        return 0;
    }
    const double speed = capacity.speed / (offRack ? this->input.farRackFactor : 1.0);
    return preference.rankOf(speed) + (capacity.failuresInRow >= UnreliableFailures ? UnreliableRank : 0);
}

std::vector<PlacementCandidate>
SpeedPlacement::select(const ReadyStep &ready, const ServicePool &pool, const PlacementRules &rules, std::vector<PlacementCandidate> candidates)
{
    if (!pool.fast || candidates.empty()) {
        return candidates;
    }
    const SpeedPreference preference = this->preferenceFor(ready, pool);
    for (PlacementCandidate &candidate : candidates) {
        candidate.speedRank = this->rankOf(preference, *candidate.capacity, candidate.offRack);
        candidate.keptForUrgent = keptForUrgent(ready, pool, *candidate.capacity);
    }
    if (ready.step->gang) {
        return alikeCandidates(ready, std::move(candidates));
    }
    if (preference.mayWaitForFast() && this->waitsForFast(ready, pool, rules, preference, candidates)) {
        const auto isSlower = [](const PlacementCandidate &candidate) { return candidate.speedRank > 0; };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isSlower), candidates.end());
    }
    return candidates;
}

bool SpeedPlacement::waitsForFast(const ReadyStep &ready,
                                  const ServicePool &pool,
                                  const PlacementRules &rules,
                                  const SpeedPreference &preference,
                                  const std::vector<PlacementCandidate> &candidates)
{
    const std::size_t tasks = ready.waiting.size();
    std::size_t fitting = 0;
    double slowerSpeed = 0;
    for (const PlacementCandidate &candidate : candidates) {
        const UpstreamCapacity &capacity = *candidate.capacity;
        if (candidate.speedRank == 0) {
            fitting += capacity.free.countFitting(*ready.step, std::min(static_cast<std::uint32_t>(tasks), rules.remainingTaskLimit(ready, capacity)));
        } else {
            slowerSpeed = std::max(slowerSpeed, capacity.speed / (candidate.offRack ? this->input.farRackFactor : 1.0));
        }
    }
    if (fitting >= tasks || slowerSpeed == 0) {
        return false;
    }
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    std::vector<UpstreamCapacity *> fast;
    std::copy_if(pool.capacities.begin(), pool.capacities.end(), std::back_inserter(fast), [&](const UpstreamCapacity *capacity) {
        return pool.fast->contains(*capacity) && rules.mayRunOn(ready, *capacity) && rules.hasRequiredTicket(ready, advice, *capacity);
    });
    std::size_t &waiting = this->waitingForFast[serviceOf(ready)];
    FastCapacityOutlook outlook = preference.outlook(slowerSpeed);
    outlook.missingTasks = waiting + tasks - fitting;
    outlook.releases = this->releases.releasesFor(ready, fast);
    if (!waitsForFastCapacity(outlook)) {
        return false;
    }
    waiting += tasks - fitting;
    return true;
}

} // namespace cranberryreel::cell::planning
