#include "cell/AnnouncementFilter.h"

#include <tuple>

namespace cranberryreel::cell
{

namespace
{

/// Under the time after which the scheduler doubts an upstream that says nothing (FleetKeeper).
constexpr std::chrono::milliseconds TellEvery{4000};
/// Upstreams remembered; the two-year size has 1,200, and lives follow each other.
constexpr std::size_t MostRemembered = 8192;

} // namespace

bool saysTheSame(const wire::UpstreamT &left, const wire::UpstreamT &right)
{
    const auto facts = [](const wire::UpstreamT &each) {
        return std::tie(each.born_ms, each.service, each.address, each.zone, each.labels, each.cpu_millis, each.memory_mib, each.accelerators, each.draining);
    };
    return facts(left) == facts(right);
}

bool AnnouncementFilter::isNews(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto known = this->byUpstream.find(announcement.upstream->id);
    if (known == this->byUpstream.end()) {
        return true;
    }
    const Told &told = known->second;
    return leader.empty() || told.leader != leader || now - told.at > TellEvery || announcement.sequence <= told.sequence
        || !saysTheSame(told.facts, *announcement.upstream);
}

void AnnouncementFilter::told(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->byUpstream.size() >= MostRemembered) {
        this->byUpstream.clear();
    }
    this->byUpstream[announcement.upstream->id] = {*announcement.upstream, announcement.sequence, leader, now};
}

} // namespace cranberryreel::cell
