#include "cell/teams/RateWindow.h"

namespace cranberryreel::cell::teams
{

RateWindow::RateWindow(std::chrono::seconds windowLength)
    : length(windowLength)
{
}

bool RateWindow::isWithinRate(const std::string &team, double weight, const std::string &job, base::SteadyTime now)
{
    if (weight <= 0) {
        return true;
    }
    this->expire(now);
    const auto [result, isNew] = this->results.try_emplace(TeamAndJob(team, job), false);
    if (!isNew) {
        return result->second;
    }
    const auto found = this->used.find(team);
    const std::size_t count = found == this->used.end() ? 0 : found->second;
    result->second = static_cast<double>(count) < weight * static_cast<double>(this->length.count());
    if (result->second) {
        this->used[team] = count + 1;
    }
    this->submissions.push_back({now, result->first});
    return result->second;
}

void RateWindow::expire(base::SteadyTime now)
{
    while (!this->submissions.empty() && now - this->submissions.front().at >= this->length) {
        const TeamAndJob &key = this->submissions.front().key;
        const auto result = this->results.find(key);
        // A team without jobs within its rate has no count, while its other jobs may still be listed.
        if (const auto count = this->used.find(key.first); result->second && --count->second == 0) {
            this->used.erase(count);
        }
        this->results.erase(result);
        this->submissions.pop_front();
    }
}

} // namespace cranberryreel::cell::teams
