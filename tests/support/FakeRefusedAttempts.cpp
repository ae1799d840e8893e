#include "support/FakeRefusedAttempts.h"

#include <algorithm>

namespace cranberryreel::testsupport
{

namespace
{

constexpr std::chrono::seconds Retention{60};

} // namespace

void FakeRefusedAttempts::add(const std::string &taskId, std::uint32_t attempt, base::SteadyTime now)
{
    this->removeExpired(now);
    std::uint32_t &lastAttempt = this->lastRefused[taskId];
    lastAttempt = std::max(lastAttempt, attempt);
    this->additions.emplace_back(now, taskId);
}

bool FakeRefusedAttempts::contains(const std::string &taskId, std::uint32_t attempt) const
{
    const auto found = this->lastRefused.find(taskId);
    return found != this->lastRefused.end() && attempt <= found->second;
}

void FakeRefusedAttempts::clear()
{
    this->lastRefused.clear();
    this->additions.clear();
}

void FakeRefusedAttempts::removeExpired(base::SteadyTime now)
{
    while (!this->additions.empty() && now - this->additions.front().first > Retention) {
        this->lastRefused.erase(this->additions.front().second);
        this->additions.pop_front();
    }
}

} // namespace cranberryreel::testsupport
