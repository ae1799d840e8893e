#pragma once

#include "config/RevisionExchange.h"
#include "cranberryreel/base/Clock.h"

#include <atomic>
#include <memory>

namespace cranberryreel::config
{

/// Decides when a VM that starts may serve, so that it never serves an older revision than before its restart. The VM first reads from the group. If the
/// group is unreachable, the VM uses the highest revision of the ready VMs in its zone; if none is ready, the revision on its own disk. Owned by the config
/// service; runs in its worker's tasks.
class StartCheck
{
public:
    StartCheck(const ConfigServiceOptions &options, ConfigPeers &peers, RevisionExchange &exchange, ActiveConfiguration &active);

    /// `loadedFromDisk`: a revision was found in the data folder.
    void begin(bool loadedFromDisk);

    /// Starts the next attempt unless one is in progress or the VM is ready.
    void step();

    /// Any thread.
    bool isReady() const;

private:
    struct ZoneRound {
        std::size_t outstanding = 0;
        FetchReply best;
    };

    void fetchFromGroup();
    void fetchFromZone();
    void onZoneReply(ZoneRound &round, const FetchReply &reply);
    void becomeReady(const char *source);

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    RevisionExchange &exchange;
    ActiveConfiguration &active;
    base::SteadyTime beginTime;
    bool hasRevisionOnDisk = false;
    bool inProgress = false;
    std::size_t nextMemberIndex = 0;
    std::atomic<bool> ready{false};
};

} // namespace cranberryreel::config
