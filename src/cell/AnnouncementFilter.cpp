#include "cell/AnnouncementFilter.h"

#include <tuple>

namespace cranberryreel::cell
{

namespace
{

/// Shorter than AnnouncementMaxAge (UpstreamManager), after which the scheduler probes an upstream that sends no announcement.
constexpr std::chrono::milliseconds ForwardInterval{4000};
/// The deployment grows to 1,200 upstreams in two years; upstreams that restart under new ids add entries.
constexpr std::size_t MaxRemembered = 8192;

} // namespace

bool isSameDescription(const wire::UpstreamT &left, const wire::UpstreamT &right)
{
    const auto description = [](const wire::UpstreamT &each) {
        return std::tie(each.born_ms, each.service, each.address, each.zone, each.labels, each.cpu_millis, each.memory_mib, each.accelerators, each.draining);
    };
    return description(left) == description(right);
}

bool AnnouncementFilter::mustForward(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->byUpstream.find(announcement.upstream->id);
    if (found == this->byUpstream.end()) {
        return true;
    }
    const Forwarded &last = found->second;
    return leader.empty() || last.leader != leader || now - last.at > ForwardInterval || announcement.sequence <= last.sequence
        || !isSameDescription(last.description, *announcement.upstream);
}

void AnnouncementFilter::recordForwarded(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->byUpstream.size() >= MaxRemembered) {
        this->byUpstream.clear();
    }
    this->byUpstream[announcement.upstream->id] = {*announcement.upstream, announcement.sequence, leader, now};
}

} // namespace cranberryreel::cell
