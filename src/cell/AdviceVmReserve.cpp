#include "cell/AdviceVmReserve.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// Bursts bring nearly twice the usual rate of quick queries.
constexpr std::size_t VmsReservedForQuick = 4;
/// Prefetch queries leave the usable VMs divided by this number free, and at least VmsReservedForQuick.
constexpr std::size_t PrefetchReserveDivisor = 3;
/// A slow query that has been refused for this long may take a VM of the reserve.
constexpr std::chrono::milliseconds MaxSlowWait{1000};

} // namespace

std::size_t AdviceVmReserve::reservedVms(AdviceQueryClass queryClass, std::size_t usableVms)
{
    if (queryClass == AdviceQueryClass::Quick || usableVms == 0) {
        return 0;
    }
    const std::size_t wanted = queryClass == AdviceQueryClass::Slow ? VmsReservedForQuick : std::max(usableVms / PrefetchReserveDivisor, VmsReservedForQuick);
    return std::min(wanted, usableVms - 1);
}

bool AdviceVmReserve::admit(AdviceQueryClass queryClass, std::size_t freeVms, std::size_t usableVms, base::SteadyTime now)
{
    const bool admitted = this->mayTake(queryClass, freeVms, usableVms, now);
    if (admitted) {
        this->refusals.recordGranted(queryClass);
    } else {
        this->refusals.recordRefused(queryClass, now);
    }
    return admitted;
}

bool AdviceVmReserve::mayTake(AdviceQueryClass queryClass, std::size_t freeVms, std::size_t usableVms, base::SteadyTime now) const
{
    if (freeVms == 0) {
        return false;
    }
    const bool slowOverdue = this->refusals.refusedFor(AdviceQueryClass::Slow, now) >= MaxSlowWait;
    if (queryClass == AdviceQueryClass::Quick) {
        return freeVms > 1 || !slowOverdue;
    }
    if (queryClass == AdviceQueryClass::Slow && slowOverdue) {
        return true;
    }
    const bool quickWaits = this->refusals.isRefused(AdviceQueryClass::Quick, now);
    return freeVms > reservedVms(queryClass, usableVms) && (freeVms > 1 || !quickWaits);
}

} // namespace cranberryreel::cell
