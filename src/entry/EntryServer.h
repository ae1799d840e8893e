#pragma once

#include "base/Mailbox.h"
#include "cranberryreel/base/Clock.h"
#include "entry/ConfigHandlers.h"
#include "entry/EntryOptions.h"
#include "entry/KeyRing.h"
#include "entry/OperatorHandlers.h"
#include "entry/Router.h"
#include "entry/WorkHandlers.h"
#include "http/Server.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

namespace cranberryreel::entry
{

/// The HTTP side of an entry VM: callers, upstreams and operators reach the daemon here. Owned by the daemon; made by EntryServerBuilder.
class EntryServer
{
public:
    EntryServer(EntryOptions entryOptions, std::shared_ptr<Dispatcher> workDispatcher, std::shared_ptr<config::ConfigService> configuration);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Throws base::Error(PortInUse).
    void start();
    std::uint16_t port() const;

    /// Not ready to the balancer from now on; new work is refused once the stated grace has passed. Requests in flight go on.
    void beginStop();

    /// After beginStop(): waits up to the limit for the requests in flight, answers the rest as unknown, then closes. Returns whether all finished.
    bool stop(std::chrono::milliseconds limit);

    /// Requests whose answer has not been written out yet.
    std::size_t inFlight() const;

private:
    void addRoutes();
    void serve(const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    void serveBefore(base::SteadyTime until, const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    bool needsNewerConfiguration(const Route &route, const http::Request &request);
    void waitForConfiguration(base::SteadyTime until, const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    Identity identityFor(const Route &route, const http::Request &request);
    void checkUpstreamKey(const http::Request &request) const;
    void announce(const Call &call);
    void readiness(const Call &call) const;
    void refuseAfterGrace();

    const EntryOptions options;
    std::shared_ptr<Dispatcher> dispatcher;
    KeyRing keys;
    WorkHandlers work;
    OperatorHandlers operators;
    ConfigHandlers configs;
    Router router;
    std::atomic<bool> stopping{false};
    bool stopped = false; ///< Used by the owner's thread only.
    absl::Mutex graceMutex;
    bool graceCut ABSL_GUARDED_BY(graceMutex) = false;
    std::thread grace;
    base::Mailbox waiting; ///< Calls that wait for the configuration.
    std::unique_ptr<http::Server> server;
};

} // namespace cranberryreel::entry
