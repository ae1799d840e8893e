#pragma once

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace cranberryreel::testsupport
{

/// Attempts that a fake upstream refuses to start: those stopped before their start arrived, and those that ended and were acknowledged. Each is kept for
/// longer than a start request can be in transit. Owned by a FakeTaskTable, under the lock of its FakeUpstream.
class FakeRefusedAttempts
{
public:
    /// Refuses this attempt and all earlier ones of the task.
    void add(const std::string &taskId, std::uint32_t attempt, base::SteadyTime now);
    bool contains(const std::string &taskId, std::uint32_t attempt) const;
    void clear();

private:
    void removeExpired(base::SteadyTime now);

    std::map<std::string, std::uint32_t> lastRefused;
    std::deque<std::pair<base::SteadyTime, std::string>> additions; ///< One item per call of add(), oldest first.
};

} // namespace cranberryreel::testsupport
