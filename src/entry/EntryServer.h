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

/// The HTTP side of an entry VM, which serves callers, upstreams and operators. Owned by the daemon, created by EntryServerBuilder; the owner
/// calls start(), beginStop() and stop() on one thread.
class EntryServer
{
public:
    EntryServer(EntryOptions entryOptions, std::shared_ptr<Dispatcher> workDispatcher, std::shared_ptr<config::ConfigService> configuration);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Throws base::Error(PortInUse) if the address cannot be bound.
    void start();
    std::uint16_t port() const;

    /// Reports not ready to the load balancer at once, and refuses new work after EntryOptions::stopGrace. Requests in flight continue.
    void beginStop();

    /// Begins the stop if beginStop() has not been called, waits up to the limit for the requests in flight, answers the rest as unknown, then closes. Returns
    /// whether all requests finished in time.
    bool stop(std::chrono::milliseconds limit);

    /// Number of requests whose response has not been written completely.
    std::size_t inFlight() const;

private:
    void addRoutes();
    void handleRequest(const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    void handleBefore(base::SteadyTime deadline, const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    bool needsNewerConfiguration(const Route &route, const http::Request &request);
    void waitForConfiguration(base::SteadyTime deadline, const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    Identity authenticate(const Route &route, const http::Request &request);
    void checkUpstreamKey(const http::Request &request) const;
    void announce(const RoutedRequest &routed);
    void respondReadiness(const RoutedRequest &routed) const;
    void refuseAfterGrace();

    const EntryOptions options;
    std::shared_ptr<Dispatcher> dispatcher;
    KeyRing keyRing;
    WorkHandlers workHandlers;
    OperatorHandlers operatorHandlers;
    ConfigHandlers configHandlers;
    Router router;
    std::atomic<bool> stopping{false};
    bool stopped = false; ///< Accessed on the owner's thread only.
    absl::Mutex graceMutex;
    bool graceSkipped ABSL_GUARDED_BY(graceMutex) = false;
    std::thread graceThread;
    base::Mailbox configurationRetries; ///< Retries the requests that wait for a newer configuration.
    std::unique_ptr<http::Server> server;
};

} // namespace cranberryreel::entry
