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

/// One VM of a cell without its HTTP listeners: the links to the other VMs, the caller of the leading scheduler and, if the settings give a data folder, a
/// member of the replication group that holds the cell's state. Owned by the program.
class CellDaemon
{
public:
    /// Both call objects must outlive the daemon. Throws base::Error if the settings cannot be used.
    CellDaemon(const CellSettings &cellSettings, UpstreamCalls &upstreamCalls, AdviceCalls &adviceCalls);
    ~CellDaemon();

    void start();
    /// Waits at most `limit` for a leader to hand leadership over.
    void stop(std::chrono::milliseconds limit);

    /// Applies the settings that may change while the daemon runs: new seeds.
    void reload(const CellSettings &changed);

    CellCaller &caller()
    {
        return *this->cellCaller;
    }

    /// Whether a leading scheduler was heard recently and this VM is not cut off.
    bool isReady() const;

private:
    void registerHandlers();
    void relay(const wire::CallT &call, const ReplyCallback &reply);
    void advise(const wire::CallT &call, const link::Responder &respond);

    const CellSettings settings;
    AdviceCalls &localAdvice;
    std::unique_ptr<link::LinkHub> hub;
    std::unique_ptr<CellCaller> cellCaller;
    std::unique_ptr<AdviceDispatcher> adviceDispatcher;
    std::unique_ptr<ZoneRelays> relays; ///< Null if this VM does not hold the state.
    std::unique_ptr<CellMember> member; ///< Null if this VM does not hold the state.
    bool started = false;
};

} // namespace cranberryreel::cell
