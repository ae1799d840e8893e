#pragma once

#include "cell/generated/cell_generated.h"

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <string>

namespace cranberryreel::cell
{

/// Decides which announcements of upstreams go on to the scheduler. Load pattern: hundreds of upstreams announce themselves every 1.5 s and say the same as
/// before; the scheduler needs each one only often enough to know that it lives. Any thread. Owned by whoever takes announcements.
class AnnouncementFilter
{
public:
    /// False: the leader has been told the same by this VM a moment ago, and the announcement can be answered without it.
    bool isNews(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now) const;

    /// The leader has taken it.
    void told(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now);

private:
    struct Told {
        wire::UpstreamT facts;
        std::uint64_t sequence = 0;
        std::string leader;
        base::SteadyTime at{};
    };

    mutable absl::Mutex mutex;
    absl::flat_hash_map<std::string, Told> byUpstream ABSL_GUARDED_BY(mutex);
};

/// Whether two announcements say the same of an upstream, its number aside.
bool saysTheSame(const wire::UpstreamT &left, const wire::UpstreamT &right);

} // namespace cranberryreel::cell
