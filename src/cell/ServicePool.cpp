#include "cell/ServicePool.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// The share of a service's usable processor time that only work of priority 0 may take: its bursts come on top of a service that is otherwise full.
constexpr double HeadroomForUrgent = 0.12;

void add(Capacity &sum, const Capacity &each)
{
    sum.cpuMillis += std::max<std::int64_t>(each.cpuMillis, 0);
    sum.memoryMib += std::max<std::int64_t>(each.memoryMib, 0);
    sum.accelerators += std::max<std::int64_t>(each.accelerators, 0);
}

} // namespace

std::int64_t ServicePool::headroomMillis() const
{
    return this->servesUrgent ? static_cast<std::int64_t>(HeadroomForUrgent * static_cast<double>(this->load.usable.cpuMillis)) : 0;
}

bool leavesHeadroom(const ReadyStep &ready, const ServicePool &pool)
{
    return isUrgent(ready) || pool.load.free.cpuMillis - static_cast<std::int64_t>(ready.step->cpu_millis) >= pool.headroomMillis();
}

std::map<std::string, ServicePool> servicePools(const CellState &state, RoomTable &rooms)
{
    std::map<std::string, ServicePool> pools;
    if (state.rules() != nullptr) {
        for (const auto &queue : state.rules()->queues) {
            pools[queue->service].servesUrgent |= queue->priority == 0;
        }
    }
    for (Room &room : rooms.all()) {
        ServicePool &pool = pools[room.upstream->service];
        pool.rooms.push_back(&room);
        pool.load.runs += room.runs;
        if (room.usable) {
            add(pool.load.usable, Capacity::of(*room.upstream));
            add(pool.load.free, room.free);
        }
    }
    for (auto &[service, pool] : pools) {
        pool.load.service = service;
        pool.unpledged = pool.load.free;
    }
    return pools;
}

} // namespace cranberryreel::cell
