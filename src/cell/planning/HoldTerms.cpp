#include "cell/planning/HoldTerms.h"

namespace cranberryreel::cell::planning
{

namespace
{

/// A hold that no plan has continued for so long is over. Plans follow each other within milliseconds while something waits.
constexpr std::chrono::milliseconds MaxGap{1000};
constexpr std::chrono::seconds CleanUpInterval{10};

} // namespace

bool HoldTerms::mayHold(const StepKey &step, std::chrono::milliseconds limit, base::SteadyTime now)
{
    this->removeOld(now);
    return continueTerm(this->steps[step], limit, now);
}

bool HoldTerms::mayHold(const std::string &service, std::chrono::milliseconds limit, base::SteadyTime now)
{
    return continueTerm(this->services[service], limit, now);
}

bool HoldTerms::continueTerm(Term &term, std::chrono::milliseconds limit, base::SteadyTime now)
{
    if (now < term.yieldUntil) {
        return false;
    }
    if (term.lastHeld == base::SteadyTime() || now - term.lastHeld > MaxGap) {
        term = {now, now + limit, now, {}};
        return true;
    }
    if (now >= term.end) {
        term.yieldUntil = now + (now - term.begin);
        term.lastHeld = {};
        return false;
    }
    term.lastHeld = now;
    return true;
}

void HoldTerms::removeOld(base::SteadyTime now)
{
    if (now < this->nextCleanUp) {
        return;
    }
    this->nextCleanUp = now + CleanUpInterval;
    for (auto each = this->steps.begin(); each != this->steps.end();) {
        const bool over = now >= each->second.yieldUntil && now - each->second.lastHeld > MaxGap;
        each = over ? this->steps.erase(each) : std::next(each);
    }
}

} // namespace cranberryreel::cell::planning
