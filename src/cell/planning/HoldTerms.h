#pragma once

#include "cell/TaskKey.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <map>
#include <string>

namespace cranberryreel::cell::planning
{

/// How long waiting large work has kept other work out, over the plans of one term. Each hold ends: after its term the holder yields for as long as it held,
/// whatever it waits for, so that what it keeps out runs meanwhile; then it may hold again. Used by the scheduler's thread only. Owned by the CellTerm.
class HoldTerms
{
public:
    /// Whether the step may hold upstreams in the plan at `now`. A new hold gets the term `limit`; later plans do not extend it.
    bool mayHold(const StepKey &step, std::chrono::milliseconds limit, base::SteadyTime now);

    /// The same for all holders of a service together: they follow each other without a pause otherwise.
    bool mayHold(const std::string &service, std::chrono::milliseconds limit, base::SteadyTime now);

private:
    struct Term {
        base::SteadyTime begin;
        base::SteadyTime end;
        base::SteadyTime lastHeld;
        base::SteadyTime yieldUntil;
    };

    static bool continueTerm(Term &term, std::chrono::milliseconds limit, base::SteadyTime now);
    void removeOld(base::SteadyTime now);

    std::map<StepKey, Term> steps;
    std::map<std::string, Term> services;
    base::SteadyTime nextCleanUp{};
};

} // namespace cranberryreel::cell::planning
