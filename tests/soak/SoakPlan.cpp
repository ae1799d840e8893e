#include "soak/SoakPlan.h"

#include <algorithm>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A process that is started again after SIGTERM is back within this time.
constexpr milliseconds RestartTime = GraceTime + 500ms;
constexpr milliseconds KilledTime{100};

constexpr FaultKind Removal{Action::Remove, Action::Succeed, 2000ms, 2000ms};

} // namespace

SoakPlan::SoakPlan(std::uint64_t seed)
    : random(seed)
    , lossRandom(seed)
    , nextLossKind(seed)
{
    this->options.tolerate = this->below(3) == 0 ? 2 : 1;
    const int voters = 2 * this->options.tolerate + 1;
    this->options.diskVms = voters + static_cast<int>(this->below(3));
    this->options.entryVms = 2;
    this->options.leaseMax = PlatformLeaseMax;
}

const support::PlatformCellOptions &SoakPlan::layout() const
{
    return this->options;
}

SoakRound SoakPlan::nextRound()
{
    SoakRound round;
    this->lostUntil.assign(static_cast<std::size_t>(this->options.diskVms), 0ms);
    this->addFaults(round, this->between(3s, 10s));
    if (this->below(2) == 0) {
        this->addRemovals(round);
    }
    this->addClosing(round);
    std::stable_sort(round.steps.begin(), round.steps.end(), [](const SoakStep &a, const SoakStep &b) { return a.time < b.time; });
    return round;
}

std::vector<SoakStep> SoakPlan::nextLoss()
{
    static const FaultKind kinds[] = {{Action::Vanish, Action::Vanish, 0ms, 0ms}, {Action::Drain, Action::Vanish, 20ms, 2000ms}};
    const auto &[begin, end, shortest, longest] = kinds[this->nextLossKind++ % std::size(kinds)];
    std::vector<SoakStep> steps;
    if (begin != end) {
        steps.push_back({0ms, begin, false, false, 0});
    }
    const auto range = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
    steps.push_back({shortest + milliseconds(this->lossRandom() % range), end, false, false, 0});
    return steps;
}

void SoakPlan::addFaults(SoakRound &round, milliseconds length)
{
    static const FaultKind kinds[] = {
        {Action::Kill, Action::Start, 0ms, 3000ms},
        {Action::Freeze, Action::Thaw, 300ms, 3000ms},
        {Action::Freeze, Action::Thaw, 3000ms, 12000ms},
        {Action::Terminate, Action::Start, RestartTime, RestartTime},
        {Action::Terminate, Action::Kill, 0ms, 1500ms},
        {Action::FillDisk, Action::FreeDisk, 500ms, 8000ms},
        {Action::FillDisk, Action::FreeDisk, 3000ms, 12000ms},
        {Action::Wipe, Action::Start, 200ms, 3000ms},
        Removal,
    };
    constexpr std::size_t EntryShare = 5; // One in so many faults hits an entry VM; the same for a reload.
    constexpr std::size_t PowerLossShare = 12;
    for (milliseconds time = this->between(0ms, 1s); time < length; time += this->between(50ms, 1500ms)) {
        const std::size_t place = this->below(this->lostUntil.size());
        const auto lost = std::count_if(this->lostUntil.begin(), this->lostUntil.end(), [time](milliseconds until) { return until > time; });
        if (this->below(EntryShare) == 0) {
            this->addEntryFault(round, time);
        } else if (this->below(EntryShare) == 0) {
            round.steps.push_back({time, Action::Reload, false, false, place});
        } else if (this->below(PowerLossShare) == 0) {
            this->addPowerLoss(round, time);
        } else if (lost < this->options.tolerate && this->lostUntil[place] <= time) {
            this->addFault(round, kinds[this->below(std::size(kinds))], time, place);
        }
    }
}

/// Removes VMs last, so that the closing fault comes as soon as their successors no longer count as lost.
void SoakPlan::addRemovals(SoakRound &round)
{
    const milliseconds calm = this->calmTime(round);
    for (std::size_t removals = 1 + this->below(static_cast<std::size_t>(this->options.tolerate)); removals > 0; --removals) {
        if (const std::size_t place = this->below(this->lostUntil.size()); this->lostUntil[place] <= calm) {
            this->addFault(round, Removal, calm + this->between(0ms, 500ms), place);
        }
    }
}

std::size_t SoakPlan::below(std::size_t bound)
{
    return static_cast<std::size_t>(this->random() % bound);
}

milliseconds SoakPlan::between(milliseconds shortest, milliseconds longest)
{
    return shortest + milliseconds(this->below(static_cast<std::size_t>((longest - shortest).count()) + 1));
}

milliseconds SoakPlan::calmTime(const SoakRound &round) const
{
    milliseconds calm = *std::max_element(this->lostUntil.begin(), this->lostUntil.end());
    for (const SoakStep &step : round.steps) {
        calm = std::max(calm, step.time);
    }
    return calm;
}

void SoakPlan::addFault(SoakRound &round, const FaultKind &kind, milliseconds time, std::size_t place)
{
    const milliseconds end = time + this->between(kind.shortest, kind.longest);
    round.steps.push_back({time, kind.begin, false, false, place});
    round.steps.push_back({end, kind.end, false, false, place});
    // A process that is killed while it stops is started again at once.
    if (kind.end == Action::Kill) {
        round.steps.push_back({end, Action::Start, false, false, place});
    }
    // A VM may restart while its disk is full.
    if (kind.begin == Action::FillDisk && this->below(4) == 0) {
        const milliseconds restart = this->between(time, end);
        round.steps.push_back({restart, Action::Kill, false, false, place});
        round.steps.push_back({restart + KilledTime, Action::Start, false, false, place});
    }
    this->lostUntil[place] = end + KilledTime + CatchUpTime;
}

void SoakPlan::addPowerLoss(SoakRound &round, milliseconds time)
{
    const milliseconds back = time + this->between(100ms, 3s);
    round.steps.push_back({time, Action::PowerLoss, false, false, 0});
    round.steps.push_back({back, Action::PowerBack, false, false, 0});
    for (milliseconds &until : this->lostUntil) {
        until = std::max<milliseconds>(until, back + CatchUpTime);
    }
}

void SoakPlan::addEntryFault(SoakRound &round, milliseconds time)
{
    const std::size_t place = this->below(static_cast<std::size_t>(this->options.entryVms));
    static const std::pair<Action, Action> faults[] = {{Action::Kill, Action::Start}, {Action::Freeze, Action::Thaw}, {Action::Terminate, Action::Reload}};
    const auto &[begin, end] = faults[this->below(std::size(faults))];
    round.steps.push_back({time, begin, true, false, place});
    round.steps.push_back({time + this->between(0ms, 2s), end, true, false, place});
}

void SoakPlan::addClosing(SoakRound &round)
{
    round.closing = this->calmTime(round) + this->between(0ms, 300ms);
    round.downTime = this->between(100ms, 3s);
    const std::size_t lost = this->below(5) == 0 ? 0 : static_cast<std::size_t>(this->options.tolerate);
    round.powerLoss = this->below(4) != 0 || lost == 0;
    while (round.disksLost.size() < lost) {
        if (const std::size_t place = this->below(this->lostUntil.size());
            std::find(round.disksLost.begin(), round.disksLost.end(), place) == round.disksLost.end()) {
            round.disksLost.push_back(place);
        }
    }
}

} // namespace cranberryreel::soak
