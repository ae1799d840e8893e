#pragma once

#include "replication/CoreOutput.h"

#include "cranberryreel/base/ResultCode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace cranberryreel::replication
{

/// The callbacks of reads: asked of the core first, then waiting until this member has applied enough. Owned and used by the group's own thread.
class PendingReads
{
public:
    using Done = std::function<void(base::ResultCode)>;

    /// Returns the id under which to ask the core.
    std::uint64_t add(Done done);

    /// The core's answer; `applied` is this member's last applied index.
    void answered(const ReadOutcome &outcome, std::uint64_t applied);
    void applied(std::uint64_t index);

    /// Ends all with GroupUnavailable.
    void abandon();

private:
    struct Waiting {
        std::uint64_t index = 0;
        Done done;
    };

    std::uint64_t lastId = 0;
    std::map<std::uint64_t, Done> asked; ///< By id.
    std::vector<Waiting> waiting;
};

} // namespace cranberryreel::replication
