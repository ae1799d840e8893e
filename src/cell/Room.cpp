#include "cell/Room.h"

#include <algorithm>

namespace cranberryreel::cell
{

void Room::take(const wire::StepT &step)
{
    this->free.take(step);
    this->unpledged.take(step);
    this->expected.take(step);
    ++this->runs;
    this->fillers += step.filler ? 1 : 0;
    this->servers += servesUsers(step) ? 1 : 0;
}

void Room::giveBack(const wire::StepT &step)
{
    this->free.giveBack(step);
    this->unpledged.giveBack(step);
    this->expected.giveBack(step);
    --this->runs;
    this->fillers -= step.filler ? 1 : 0;
    this->servers -= servesUsers(step) ? 1 : 0;
}

bool Room::hasLabel(const std::string &label) const
{
    const auto &labels = this->upstream->labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

RoomTable::RoomTable(const CellState &state, const std::map<std::uint64_t, UpstreamTracker> &lives, base::SteadyTime now)
{
    this->rooms.reserve(state.upstreams().size());
    auto life = lives.begin();
    for (const auto &[number, upstream] : state.upstreams()) {
        Room room;
        room.upstream = &upstream;
        room.free = Capacity::of(upstream);
        room.unpledged = room.free;
        room.expected = room.free;
        while (life != lives.end() && life->first < number) {
            ++life;
        }
        if (life != lives.end() && life->first == number) {
            room.usable = life->second.readBack && !upstream.draining && life->second.silentCalls == 0 && now >= life->second.excludedUntil;
            room.failuresInRow = life->second.failuresInRow;
            room.life = life->second.incarnation;
        }
        this->rooms.push_back(room);
    }
    forEachRun(state, [this](const wire::RunT &run, const wire::StepT &step, const wire::JobT &, const TaskKey &) {
        if (Room *room = this->find(run.upstream)) {
            room->take(step);
        }
    });
}

Room *RoomTable::find(std::uint64_t upstream)
{
    const auto at = std::lower_bound(
        this->rooms.begin(), this->rooms.end(), upstream, [](const Room &room, std::uint64_t number) { return room.upstream->number < number; });
    return at == this->rooms.end() || at->upstream->number != upstream ? nullptr : &*at;
}

bool givesWay(const wire::StepT &step)
{
    return step.saves_progress && !step.gang && !step.lasting;
}

bool servesUsers(const wire::StepT &step)
{
    return step.lasting && step.tail_target_ms > 0;
}

} // namespace cranberryreel::cell
