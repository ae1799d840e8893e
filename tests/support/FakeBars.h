#pragma once

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace cranberryreel::testsupport
{

/// Attempts that a fake upstream will not start any more: stopped before they came, or ended and acknowledged. Remembered for longer than any start may be
/// under way. Owned by a FakeTaskTable.
class FakeBars
{
public:
    /// This attempt and earlier ones.
    void bar(const std::string &taskId, std::uint32_t attempt, base::SteadyTime now);
    bool holds(const std::string &taskId, std::uint32_t attempt) const;
    void clear();

private:
    void forgetOld(base::SteadyTime now);

    std::map<std::string, std::uint32_t> upTo;
    std::deque<std::pair<base::SteadyTime, std::string>> order; ///< Each bar once per call, oldest first.
};

} // namespace cranberryreel::testsupport
