#include "cell/teams/ArrivalRates.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryreel::cell::teams
{

namespace
{

/// Shows the end of a burst soon; over it, 40 jobs a second average out to 15%.
constexpr std::chrono::milliseconds BriefMemory{1000};
/// Several times a burst of 4 s and a flood of 6 s, so that neither raises the mean much.
constexpr std::chrono::milliseconds LastingMemory{20000};
/// A shorter record, such as that of a new leader, gives no reliable mean, and the rest of the time counts as without arrivals.
constexpr std::chrono::milliseconds MinTime{900};

double countOf(std::chrono::milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

void ArrivalRates::Mean::decay(std::chrono::milliseconds memory, base::SteadyTime now)
{
    if (this->at != base::SteadyTime()) {
        const double age = std::chrono::duration<double, std::milli>(now - this->at).count();
        const double kept = std::exp(-age / countOf(memory));
        for (double &value : this->work.values) {
            value *= kept;
        }
        this->time = this->time * kept + countOf(memory) * (1 - kept);
    }
    this->at = now;
}

double ArrivalRates::Mean::rate(std::size_t dimension) const
{
    return this->work[dimension] / std::max(this->time, countOf(MinTime));
}

void ArrivalRates::record(const std::string &service, int priority, const Amounts &work, base::SteadyTime now)
{
    Means &entry = this->means[{service, priority}];
    entry.brief.decay(BriefMemory, now);
    entry.brief.work.add(work);
    entry.lasting.decay(LastingMemory, now);
    entry.lasting.work.add(work);
}

std::map<int, Amounts> ArrivalRates::ratesOf(const std::string &service, base::SteadyTime now) const
{
    std::map<int, Amounts> rates;
    for (auto at = this->means.lower_bound({service, std::numeric_limits<int>::min()}); at != this->means.end() && at->first.first == service; ++at) {
        Means entry = at->second;
        entry.brief.decay(BriefMemory, now);
        entry.lasting.decay(LastingMemory, now);
        Amounts &rate = rates[at->first.second];
        for (std::size_t d = 0; d < Amounts::Dimensions; ++d) {
            rate.values[d] = std::min(entry.brief.rate(d), entry.lasting.rate(d));
        }
    }
    return rates;
}

} // namespace cranberryreel::cell::teams
