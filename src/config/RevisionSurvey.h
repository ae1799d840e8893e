#pragma once

#include "config/ConfigPeers.h"
#include "config/ConfigServiceOptions.h"
#include "config/RevisionExchange.h"

#include <chrono>
#include <memory>
#include <vector>

namespace cranberryreel::config
{

/// Asks every VM for its revision. Owned by the config service; runs in its worker's tasks.
class RevisionSurvey
{
public:
    RevisionSurvey(const ConfigServiceOptions &options, ConfigPeers &peers, const RevisionExchange &exchange);

    /// Each VM may wait so long until it serves on `atLeast`; the survey ends at the latest after `limit`.
    void take(std::uint64_t atLeast, std::chrono::milliseconds wait, std::chrono::milliseconds limit, StatusDone done);

private:
    struct Round {
        std::vector<VmRevision> vms;
        std::size_t open = 0;
        StatusDone done;
    };

    static void close(Round &round);

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    const RevisionExchange &exchange;
};

} // namespace cranberryreel::config
