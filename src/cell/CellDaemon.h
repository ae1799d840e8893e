#pragma once

#include "cell/AdviceCalls.h"
#include "cell/AdviceDispatcher.h"
#include "cell/CellCaller.h"
#include "cell/CellMember.h"
#include "cell/CellSettings.h"
#include "cell/UpstreamCalls.h"
#include "cell/ZoneRelays.h"
#include "link/LinkHub.h"

#include <chrono>
#include <memory>

namespace cranberryreel::cell
{

/// One VM of a cell, without its listeners for the outside: the links, the way to the scheduler, and where the settings say so a member of the group that
/// holds the state. Owned by the program.
class CellDaemon
{
public:
    /// The calls must outlive the daemon. Throws base::Error where the settings cannot be used.
    CellDaemon(const CellSettings &cellSettings, UpstreamCalls &upstreamCalls, AdviceCalls &adviceCalls);
    ~CellDaemon();

    void start();
    void stop(std::chrono::milliseconds limit);

    /// Settings that may change while the daemon runs: the seeds.
    void reload(const CellSettings &changed);

    CellCaller &caller()
    {
        return *this->cellCaller;
    }

    /// A leading scheduler has answered this VM lately.
    bool isReady() const;

private:
    void receive();
    void relay(const wire::CallT &call, const Reply &reply);
    void advise(const wire::CallT &call, const link::Responder &respond);

    const CellSettings settings;
    AdviceCalls &advice;
    std::unique_ptr<link::LinkHub> hub;
    std::unique_ptr<CellCaller> cellCaller;
    std::unique_ptr<AdviceDispatcher> pool;
    std::unique_ptr<ZoneRelays> relays; ///< Null where this VM does not hold the state.
    std::unique_ptr<CellMember> member; ///< Null where this VM does not hold the state.
    bool started = false;
};

} // namespace cranberryreel::cell
