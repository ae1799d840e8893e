#pragma once

#include "cell/AllowedShares.h"
#include "cell/TaskKey.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// What the advice service has said of one step. Which upstreams it allows never changes; only the tickets age.
struct StepAdvice {
    struct Ticket {
        std::string text;
        base::SteadyTime usableUntil{}; ///< No plan uses it later; the commit and the order come after the plan.
        std::uint64_t life = 0; ///< UpstreamLife::epoch that it was given for.
        base::SteadyTime validUntil{}; ///< No order carries it later.
    };

    bool asking = false;
    std::vector<std::uint64_t> askedAbout; ///< By the question on its way.
    std::uint32_t askedFor = 0; ///< Tasks that are expected to start with its tickets.
    std::chrono::milliseconds unusedTime{0}; ///< Of the service, spent on questions since a task of the step last started.
    base::SteadyTime notBefore{}; ///< No question before, after one that failed.
    std::set<std::uint64_t> known; ///< Upstreams that were asked about.
    std::map<std::uint64_t, Ticket> allowed;
};

/// The advice on all steps that wait or run, kept while the job is open. Pure. Owned by the term.
class AdviceBook
{
public:
    AllowedShares shares;

    StepAdvice &of(const StepKey &step)
    {
        return this->steps[step];
    }

    /// Drops what is known of jobs that are over.
    template<typename IsOpen>
    void keepOnly(IsOpen isOpen)
    {
        for (auto at = this->steps.begin(); at != this->steps.end();) {
            at = isOpen(at->first.job) || at->second.asking ? std::next(at) : this->steps.erase(at);
        }
    }

private:
    std::map<StepKey, StepAdvice> steps;
};

} // namespace cranberryreel::cell
