#include "cell/planning/WaitReason.h"

namespace cranberryreel::cell::planning
{

const char *waitReasonName(WaitReason reason)
{
    static constexpr const char *Names[] = {
        "capacity", "headroom", "advice", "allowed", "stops", "budget", "reservation_limit", "blocked", "yielding", "quota"};
    return Names[static_cast<std::size_t>(reason)];
}

} // namespace cranberryreel::cell::planning
