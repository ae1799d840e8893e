#include "support/FakeBars.h"

#include <algorithm>

namespace cranberryreel::testsupport
{

namespace
{

constexpr std::chrono::seconds Retention{60};

} // namespace

void FakeBars::bar(const std::string &taskId, std::uint32_t attempt, base::SteadyTime now)
{
    this->forgetOld(now);
    std::uint32_t &known = this->upTo[taskId];
    known = std::max(known, attempt);
    this->order.emplace_back(now, taskId);
}

bool FakeBars::holds(const std::string &taskId, std::uint32_t attempt) const
{
    const auto found = this->upTo.find(taskId);
    return found != this->upTo.end() && attempt <= found->second;
}

void FakeBars::clear()
{
    this->upTo.clear();
    this->order.clear();
}

void FakeBars::forgetOld(base::SteadyTime now)
{
    while (!this->order.empty() && now - this->order.front().first > Retention) {
        this->upTo.erase(this->order.front().second);
        this->order.pop_front();
    }
}

} // namespace cranberryreel::testsupport
