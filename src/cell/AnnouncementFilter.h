#pragma once

#include "cell/generated/cell_generated.h"

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <string>

namespace cranberryreel::cell
{

/// Decides which announcements of upstreams are forwarded to the leading scheduler. Load pattern: hundreds of upstreams announce themselves every 1.5 s
/// without a change; the scheduler needs an unchanged announcement only often enough to know that the upstream is alive. Any thread. Owned by the handler
/// that receives the announcements.
class AnnouncementFilter
{
public:
    /// False if this VM recently forwarded the same description to the same leader, so that the announcement can be answered without a peer call.
    bool mustForward(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now) const;

    /// Records that `leader` accepted the announcement.
    void recordForwarded(const wire::AnnouncementT &announcement, const std::string &leader, base::SteadyTime now);

private:
    struct Forwarded {
        wire::UpstreamT description;
        std::uint64_t sequence = 0;
        std::string leader;
        base::SteadyTime at{};
    };

    mutable absl::Mutex mutex;
    absl::flat_hash_map<std::string, Forwarded> byUpstream ABSL_GUARDED_BY(mutex);
};

/// Whether two records describe the same upstream process with the same capacity, labels and address; the number is ignored.
bool isSameDescription(const wire::UpstreamT &left, const wire::UpstreamT &right);

} // namespace cranberryreel::cell
