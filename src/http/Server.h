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

/// Called once per complete request, on a thread of the server; must not block. The responder may be used later, on any thread. A thrown base::Error becomes
/// the response.
using Handler = std::function<void(std::shared_ptr<const Request> request, Responder respond)>;

/// An HTTP/1.1 server on libmicrohttpd. A few threads serve thousands of connections, requests that wait for their response occupy no thread, and every
/// connection is limited in time and memory, whatever its peer sends or fails to read. Owned by the serving component; created by ServerBuilder.
class Server
{
public:
    Server(ServerOptions options, Handler handler, Response unfinished);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Throws base::Error(PortInUse) if the address cannot be bound.
    void start();

    /// From now on closes each connection after its next response.
    void closeAfterResponses();

    /// Waits up to the limit until no request is in flight. Returns false if some still are.
    bool awaitIdle(std::chrono::milliseconds limit) const;

    /// Waits up to the limit for the requests in flight, answers the remaining ones with the `unfinished` response, then closes all connections. Returns
    /// whether all requests finished in time.
    bool stop(std::chrono::milliseconds limit);

    std::uint16_t port() const;

    /// Number of complete requests whose response has not been written completely.
    std::size_t inFlight() const;

    /// Number of the newest connection; see Request::connection.
    std::uint64_t lastConnection() const;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace cranberryreel::http
