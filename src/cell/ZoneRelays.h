#pragma once

#include "cell/UpstreamCalls.h"
#include "cell/generated/cell_generated.h"
#include "link/LinkHub.h"

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <string>

namespace cranberryreel::cell
{

/// Makes calls to upstreams through a VM in the upstream's own zone: that VM pays for the connection, the HTTP and the JSON, and little crosses between
/// zones. Load pattern: hundreds of starts and ends a second on hundreds of upstreams, more than one VM of half a core can speak HTTP for.
/// Orders stay safe on a detour: they carry the epoch and a deadline. Without such a VM in touch the call is made from here. Any thread.
class ZoneRelays : public UpstreamCalls
{
public:
    ZoneRelays(std::string own, link::LinkHub &linkHub, UpstreamCalls &direct);

    /// The VM has told lately that it can reach upstreams of the zone.
    void heard(const std::string &vm, const std::string &zone);

    /// Where an upstream is; empty where that is not known. Set before use; called on any thread.
    void locateBy(std::function<std::string(const std::string &upstream)> zoneOfUpstream);

    /// Carries out what another VM hands over.
    void carryOut(const wire::RelayOrderT &relay, std::function<void(wire::ReplyT)> reply);

    void start(const UpstreamTarget &target, const RunOrder &order, std::chrono::milliseconds limit, bool freshConnection, OrderDone done) override;
    void stop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, OrderDone done) override;
    void renew(const UpstreamTarget &target, const RenewOrder &order, std::chrono::milliseconds limit, RenewDone done) override;
    void pace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit, OrderDone done) override;

private:
    struct Relay {
        std::string zone;
        base::SteadyTime heardAt{};
    };

    std::string relayFor(const std::string &upstream);
    void hand(const std::string &vm,
              std::unique_ptr<wire::RelayOrderT> order,
              std::chrono::milliseconds limit,
              std::function<void(const wire::RelayResultT *, bool)> done);

    const std::string ownVm;
    link::LinkHub &hub;
    UpstreamCalls &calls;
    std::function<std::string(const std::string &)> zoneOf;
    absl::Mutex mutex;
    std::map<std::string, Relay> relays ABSL_GUARDED_BY(mutex); ///< By VM.
    std::size_t next ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace cranberryreel::cell
