#include "soak/LateCalls.h"

#include <algorithm>
#include <iterator>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

/// One in so many starts is late, and one in so many renewals, which are far more.
constexpr std::uint64_t LateStarts = 8;
constexpr std::uint64_t LateRenewals = 20;
constexpr const char *StartPath = "/api/run-start";
constexpr const char *RenewalPath = "/api/hold";
constexpr std::uint64_t LongestDelayMs = 5000;
/// Calls that are not due so long after their time are dropped.
constexpr std::chrono::milliseconds MaxOverdue{5000};

} // namespace

LateCalls::LateCalls(std::uint64_t seed)
    : random(seed)
{
}

bool LateCalls::keep(const UpstreamCall &call, SteadyTime now)
{
    const bool isStart = call.path == StartPath;
    const bool isRenewal = call.path == RenewalPath;
    const bool kept = (isStart || isRenewal) && this->random() % (isStart ? LateStarts : LateRenewals) == 0;
    if (kept) {
        this->calls.push_back({{call.path, call.body, call.receivedBy, true}, now + std::chrono::milliseconds(this->random() % LongestDelayMs)});
    }
    return kept;
}

std::vector<UpstreamCall> LateCalls::takeDue(SteadyTime now, int incarnation, bool isKnown)
{
    const auto due = std::stable_partition(this->calls.begin(), this->calls.end(), [now, incarnation, isKnown](const LateCall &late) {
        return now < late.due || (late.call.path == StartPath && late.call.receivedBy != incarnation && !isKnown);
    });
    std::vector<UpstreamCall> taken;
    std::transform(due, this->calls.end(), std::back_inserter(taken), [](const LateCall &late) { return late.call; });
    this->calls.erase(due, this->calls.end());
    this->calls.erase(std::remove_if(this->calls.begin(), this->calls.end(), [now](const LateCall &late) { return now - late.due > MaxOverdue; }),
                      this->calls.end());
    return taken;
}

} // namespace cranberryreel::soak
