#include "cell/Preemptor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

/// A task is placed so often at most before it is left alone.
constexpr std::uint32_t MostAttempts = 10;
/// A run that has done more ends soon by itself.
constexpr int NearlyDonePercent = 85;

/// For the stop, the way of its end, another question and the new start.
constexpr std::chrono::milliseconds TimeOfGivingWay{2000};

} // namespace

Preemptor::Preemptor(const PlanInput &planInput, RoomTable &roomTable)
    : input(planInput)
    , rooms(roomTable)
{
}

bool Preemptor::canWait(const Victim &victim, const ReadyStep &ready)
{
    return victim.priority > ready.queue->priority && victim.toSpare >= TimeOfGivingWay;
}

void Preemptor::collect()
{
    if (std::exchange(this->collected, true) || !this->input.viewRun) {
        return;
    }
    const JobOutlook outlook(this->input.acceptedAt, this->input.now);
    forEachRun(this->input.state, [this, &outlook](const wire::RunT &run, const wire::StepT &step, const wire::JobT &job, const TaskKey &task) {
        Room *room = this->rooms.find(run.upstream);
        const wire::QueueT *queue = this->input.state.queue(job.spec->queue);
        if (room == nullptr || !room->usable || queue == nullptr) {
            return;
        }
        const RunKey key{task, run.attempt};
        const RunView view = this->input.viewRun(key);
        if (view.stopping) {
            room->expected.giveBack(step);
        } else if (view.settled && view.percent <= NearlyDonePercent && givesWay(step) && run.attempt < MostAttempts) {
            if (const auto times = outlook.of(job, task.step.occurrence, queue)) {
                this->victims[run.upstream].push_back({key, queue->priority, view.percent, &step, times->toSpare});
            }
        }
    });
    for (auto &[upstream, here] : this->victims) {
        std::sort(here.begin(), here.end(), [](const Victim &left, const Victim &right) {
            return std::make_tuple(-left.priority, left.percent, left.run.task.step.job)
                < std::make_tuple(-right.priority, right.percent, right.run.task.step.job);
        });
    }
}

std::vector<Preemptor::Victim> &Preemptor::victimsAt(const Room &room)
{
    this->collect();
    return this->victims[room.upstream->number];
}

Capacity Preemptor::reachable(const ReadyStep &ready, const Room &room)
{
    const std::vector<Victim> &here = this->victimsAt(room);
    Capacity capacity = room.expected;
    for (const Victim &victim : here) {
        if (canWait(victim, ready)) {
            capacity.giveBack(*victim.step);
        }
    }
    return capacity;
}

std::vector<std::size_t> Preemptor::chosenAt(const ReadyStep &ready, const Room &room, bool &enough)
{
    const std::vector<Victim> &here = this->victimsAt(room);
    Capacity capacity = room.expected;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < here.size() && capacity.fits(*ready.step, 1) == 0; ++i) {
        if (canWait(here[i], ready)) {
            capacity.giveBack(*here[i].step);
            chosen.push_back(i);
        }
    }
    enough = capacity.fits(*ready.step, 1) > 0;
    return chosen;
}

std::optional<std::size_t> Preemptor::cost(const ReadyStep &ready, const Room &room)
{
    bool enough = false;
    const std::size_t count = this->chosenAt(ready, room, enough).size();
    return enough ? std::optional<std::size_t>(count) : std::nullopt;
}

bool Preemptor::makeRoom(const ReadyStep &ready, Room &room)
{
    bool enough = false;
    const std::vector<std::size_t> chosen = this->chosenAt(ready, room, enough);
    if (!enough) {
        return false;
    }
    std::vector<Victim> &here = this->victimsAt(room);
    for (auto at = chosen.rbegin(); at != chosen.rend(); ++at) {
        room.expected.giveBack(*here[*at].step);
        this->stops.push_back(here[*at].run);
        here.erase(here.begin() + static_cast<std::ptrdiff_t>(*at));
    }
    room.expected.take(*ready.step);
    return true;
}

std::vector<RunKey> Preemptor::takeStops()
{
    return std::move(this->stops);
}

} // namespace cranberryreel::cell
