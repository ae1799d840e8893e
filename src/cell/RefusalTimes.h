#pragma once

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <map>

namespace cranberryreel::cell
{

/// How long requests of each kind have been refused without one being granted. A kind whose requests are not repeated is forgotten, so that nothing waits for a
/// requester that gave up. Not thread-safe.
template<typename Kind>
class RefusalTimes
{
public:
    void recordRefused(const Kind &kind, base::SteadyTime now)
    {
        Refusals &refusals = this->kinds.try_emplace(kind, Refusals{now, now}).first->second;
        if (now - refusals.last > RepeatLimit) {
            refusals.first = now;
        }
        refusals.last = now;
    }

    void recordGranted(const Kind &kind)
    {
        this->kinds.erase(kind);
    }

    /// Whether a request of the kind is being refused.
    bool isRefused(const Kind &kind, base::SteadyTime now) const
    {
        const auto found = this->kinds.find(kind);
        return found != this->kinds.end() && now - found->second.last <= RepeatLimit;
    }

    /// Since when requests of the kind have been refused; 0 when none is.
    std::chrono::milliseconds refusedFor(const Kind &kind, base::SteadyTime now) const
    {
        const auto found = this->kinds.find(kind);
        return this->isRefused(kind, now) ? std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.first) : std::chrono::milliseconds(0);
    }

private:
    /// Requests that are still wanted are repeated with each plan, tens of times a second; a busy leader plans a few times a second.
    static constexpr std::chrono::milliseconds RepeatLimit{500};

    struct Refusals {
        base::SteadyTime first;
        base::SteadyTime last;
    };

    std::map<Kind, Refusals> kinds;
};

} // namespace cranberryreel::cell
