#pragma once

#include "cell/AdviceQueryClass.h"
#include "cell/RefusalTimes.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstddef>

namespace cranberryreel::cell
{

/// Decides which class of query gets a free VM. Load pattern: quick queries come in bursts and must not stand behind slow ones, so slow queries leave some VMs
/// free for them. The reserve never holds back slow queries for good: it leaves them one VM however few there are, and a slow query that has waited too long
/// takes a VM of the reserve. On the last free VM the classes take turns. Does no I/O and reads no clock. Not thread-safe.
class AdviceVmReserve
{
public:
    /// Whether a query of this class may be sent now. `usableVms` counts the VMs that can send queries, free and busy ones. A refused caller that still wants
    /// an answer asks again soon.
    bool admit(AdviceQueryClass queryClass, std::size_t freeVms, std::size_t usableVms, base::SteadyTime now);

    /// VMs that queries of this class leave free.
    static std::size_t reservedVms(AdviceQueryClass queryClass, std::size_t usableVms);

    /// How long queries of this class have been refused.
    std::chrono::milliseconds refusedFor(AdviceQueryClass queryClass, base::SteadyTime now) const
    {
        return this->refusals.refusedFor(queryClass, now);
    }

private:
    bool mayTake(AdviceQueryClass queryClass, std::size_t freeVms, std::size_t usableVms, base::SteadyTime now) const;

    RefusalTimes<AdviceQueryClass> refusals;
};

} // namespace cranberryreel::cell
