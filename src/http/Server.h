#pragma once

#include "http/Request.h"
#include "http/Response.h"
#include "http/ServerOptions.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace cranberryreel::http
{

/// Called once for each whole request on a thread of the server; must not block. The responder may be kept and used later from any thread.
using Handler = std::function<void(std::shared_ptr<const Request> request, Responder respond)>;

/// An HTTP/1.1 server over libmicrohttpd: a few threads serve thousands of connections, parked answers cost no thread, and whatever a caller sends or fails
/// to read is bounded in time and memory. Owned by whoever serves; made by ServerBuilder.
class Server
{
public:
    Server(ServerOptions options, Handler handler, Response unfinished);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Throws base::Error(PortInUse) when the address cannot be bound.
    void start();

    /// From now on each answer is the last of its connection.
    void closeAfterAnswers();

    /// Waits up to the limit until no request is in flight; false when some still are.
    bool awaitIdle(std::chrono::milliseconds limit) const;

    /// Waits up to the limit for the requests in flight, answers the rest as unfinished, then closes all. Returns whether none was left over.
    bool stop(std::chrono::milliseconds limit);

    std::uint16_t port() const;

    /// Whole requests whose answer has not been written out yet.
    std::size_t inFlight() const;

    /// Number of the newest connection; see Request::connection.
    std::uint64_t lastConnection() const;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace cranberryreel::http
