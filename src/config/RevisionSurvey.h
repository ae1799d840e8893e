#pragma once

#include "config/ConfigPeers.h"
#include "config/ConfigServiceOptions.h"
#include "config/RevisionExchange.h"

#include <chrono>
#include <memory>
#include <vector>

namespace cranberryreel::config
{

/// Queries the revision of every VM. Owned by the config service; runs in its worker's tasks.
class RevisionSurvey
{
public:
    RevisionSurvey(const ConfigServiceOptions &options, ConfigPeers &peers, const RevisionExchange &exchange);

    /// Each VM answers once its revision is `atLeast` or `wait` has passed; a VM that has not answered after `limit` counts as unreachable.
    void run(std::uint64_t atLeast, std::chrono::milliseconds wait, std::chrono::milliseconds limit, StatusDone done);

private:
    struct Round {
        std::vector<VmRevision> vms;
        std::size_t outstanding = 0;
        StatusDone done;
    };

    static void finishOne(Round &round);

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    const RevisionExchange &exchange;
};

} // namespace cranberryreel::config
