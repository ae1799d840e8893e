#pragma once

#include "config/RevisionExchange.h"
#include "cranberryreel/base/Clock.h"

#include <atomic>
#include <memory>

namespace cranberryreel::config
{

/// Decides when a VM that starts may serve, so that it never serves on an older revision than it answered from before. It first asks the group. Cut off
/// from that, it takes the highest of the serving VMs in its zone; where none serves, what its own disk kept. Owned by the config service; runs in its
/// worker's tasks.
class StartCheck
{
public:
    StartCheck(const ConfigServiceOptions &options, ConfigPeers &peers, RevisionExchange &exchange, InForce &inForce);

    /// `keptOnDisk`: a revision was found in the data folder.
    void begin(bool keptOnDisk);

    /// Takes the next step unless one is under way or the VM is ready.
    void step();

    /// Any thread.
    bool isReady() const;

private:
    struct ZoneRound {
        std::size_t open = 0;
        FetchReply best;
    };

    void askGroup();
    void askZone();
    void zoneAnswered(ZoneRound &round, const FetchReply &reply);
    void becomeReady(const char *how);

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    RevisionExchange &exchange;
    InForce &inForce;
    base::SteadyTime began;
    bool kept = false;
    bool asking = false;
    std::size_t memberTurn = 0;
    std::atomic<bool> ready{false};
};

} // namespace cranberryreel::config
