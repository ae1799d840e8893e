#include "cell/Room.h"

#include <algorithm>

namespace cranberryreel::cell
{

std::uint32_t Room::fits(const wire::StepT &step, std::uint32_t most) const
{
    std::int64_t count = most;
    const auto limit = [&count](std::int64_t free, std::uint32_t each) {
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(free, 0) / each);
        }
    };
    limit(this->cpuMillis, step.cpu_millis);
    limit(this->memoryMib, step.memory_mib);
    limit(this->accelerators, step.accelerators);
    return static_cast<std::uint32_t>(count);
}

void Room::take(const wire::StepT &step)
{
    this->cpuMillis -= step.cpu_millis;
    this->memoryMib -= step.memory_mib;
    this->accelerators -= step.accelerators;
    this->fillers += step.filler ? 1 : 0;
    this->servers += servesUsers(step) ? 1 : 0;
}

void Room::giveBack(const wire::StepT &step)
{
    this->cpuMillis += step.cpu_millis;
    this->memoryMib += step.memory_mib;
    this->accelerators += step.accelerators;
    this->fillers -= step.filler ? 1 : 0;
    this->servers -= servesUsers(step) ? 1 : 0;
}

bool Room::hasLabel(const std::string &label) const
{
    const auto &labels = this->upstream->labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

RoomTable::RoomTable(const CellState &state, const std::map<std::uint64_t, UpstreamLife> &lives, base::SteadyTime now)
{
    this->rooms.reserve(state.upstreams().size());
    auto life = lives.begin();
    for (const auto &[number, upstream] : state.upstreams()) {
        Room room;
        room.upstream = &upstream;
        room.cpuMillis = upstream.cpu_millis;
        room.memoryMib = upstream.memory_mib;
        room.accelerators = upstream.accelerators;
        while (life != lives.end() && life->first < number) {
            ++life;
        }
        if (life != lives.end() && life->first == number) {
            room.usable = life->second.readBack && !upstream.draining && life->second.silentCalls == 0 && now >= life->second.shunnedUntil;
            room.failuresInRow = life->second.failuresInRow;
            room.life = life->second.epoch;
        }
        this->usableCpu += room.usable ? room.cpuMillis : 0;
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

std::int64_t RoomTable::freeCpuMillis() const
{
    std::int64_t free = 0;
    for (const Room &room : this->rooms) {
        free += room.usable ? std::max<std::int64_t>(room.cpuMillis, 0) : 0;
    }
    return free;
}

bool servesUsers(const wire::StepT &step)
{
    return step.lasting && step.tail_target_ms > 0;
}

} // namespace cranberryreel::cell
