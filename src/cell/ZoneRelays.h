#pragma once

#include "cell/RelayClock.h"
#include "cell/UpstreamCalls.h"
#include "cell/generated/cell_generated.h"
#include "link/LinkHub.h"

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cranberryreel::cell
{

/// Sends requests to upstreams through a VM in the upstream's zone. That VM does the HTTP and JSON work, and little traffic crosses zones. Load pattern:
/// hundreds of starts and ends a second on hundreds of upstreams, more HTTP than one VM with half a core can handle. An order that reaches the relay after its
/// caller has given up is not sent. One that is delayed on its way to the upstream is refused for its epoch once a later leader, or this one in a request to
/// the upstream's next incarnation, has reached the upstream. Without a reachable VM in the zone the upstream is called directly. Any thread. Owned by the
/// CellDaemon.
class ZoneRelays : public UpstreamCalls
{
public:
    ZoneRelays(std::string vm, link::LinkHub &linkHub, UpstreamCalls &direct);

    /// Records that the VM has just offered to relay calls to upstreams of the zone, with its steady clock at that time; nothing if it did not state it.
    void recordRelay(const std::string &vm, const std::string &zone, std::optional<std::chrono::milliseconds> clock);

    /// `lookup` returns the zone of an upstream, or empty if unknown. Set before use; called on any thread.
    void setZoneLookup(std::function<std::string(const std::string &upstream)> lookup);

    /// Sends the request that another VM relays through this one, and calls `reply` with the result.
    void handleRelay(const wire::RelayOrderT &relay, const std::function<void(wire::ReplyT)> &reply);

    void
    start(const UpstreamTarget &target, const StartRequest &request, std::chrono::milliseconds limit, bool freshConnection, UpstreamCallback done) override;
    void stop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, UpstreamCallback done) override;
    void renew(const UpstreamTarget &target, const RenewRequest &request, std::chrono::milliseconds limit, RenewCallback done) override;
    void
    pace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit, UpstreamCallback done) override;

private:
    struct Relay {
        std::string zone;
        base::SteadyTime lastSeenAt{};
        RelayClock clock;
    };

    std::string chooseRelay(const std::string &upstream);
    std::int64_t sendBy(const std::string &vm, std::chrono::milliseconds limit);
    void sendRelay(const std::string &vm,
                   std::unique_ptr<wire::RelayOrderT> request,
                   std::chrono::milliseconds limit,
                   std::function<void(const wire::RelayResultT *, bool)> done);

    void execute(const wire::RelayOrderT &relay, std::chrono::milliseconds limit, const std::function<void(wire::ReplyT)> &reply);

    const std::string ownVm;
    link::LinkHub &hub;
    UpstreamCalls &calls;
    std::function<std::string(const std::string &)> zoneLookup;
    absl::Mutex mutex;
    std::map<std::string, Relay> relays ABSL_GUARDED_BY(mutex); ///< By VM.
    std::size_t nextRelay ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace cranberryreel::cell
