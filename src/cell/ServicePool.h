#pragma once

#include "cell/Capacity.h"
#include "cell/ReadySteps.h"
#include "cell/Room.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// How full one service is once a plan is carried out.
struct ServiceLoad {
    std::string service;
    Capacity usable; ///< Of the upstreams that can be given work.
    Capacity free;
    std::size_t runs = 0; ///< Those of this plan left out.
    std::size_t urgentWaiting = 0; ///< Tasks of priority 0 whose turn has come and that found no place.
    std::size_t otherWaiting = 0;
};

/// The upstreams of one service. Services share none, so each has a headroom, a load and expectations of its own: a full one holds up nobody else.
struct ServicePool {
    std::vector<Room *> rooms; ///< In the order of their numbers.
    Capacity unpledged; ///< Free, less what steps are expected to take that wait for advice.
    std::optional<Capacity> forGangs; ///< Free or to be made free for gangs, less what earlier ones of this plan are to have; known from the first one on.
    bool servesUrgent = false; ///< A queue of priority 0 sends work here.
    ServiceLoad load;

    /// Other work leaves this much processor time to urgent work.
    std::int64_t headroomMillis() const;
};

/// Whether the urgent work still finds its headroom when one more task of the step starts.
bool leavesHeadroom(const ReadyStep &ready, const ServicePool &pool);

/// The pools of all services that the rules or the upstreams name.
std::map<std::string, ServicePool> servicePools(const CellState &state, RoomTable &rooms);

} // namespace cranberryreel::cell
