#pragma once

#include "http/ClientOptions.h"
#include "http/ClientRequest.h"
#include "http/ClientResponse.h"

#include <memory>
#include <vector>

namespace cranberryreel::http
{

class ClientWorker;

/// An HTTP/1.1 client on libcurl's multi interface: concurrent calls over pooled connections, on its own threads. Owned by the component that makes the calls.
class Client
{
public:
    explicit Client(const ClientOptions &options = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts a call; any thread. The callback runs once, at the latest when the limit of the request has passed.
    void call(ClientRequest request, ClientDone done);

    /// Makes a call and blocks until it ends. Must not be used in a callback.
    ClientResponse callAndWait(ClientRequest request);

    /// Ends all calls with Stopped and joins the threads. Later calls end with Stopped at once.
    void stop();

private:
    std::vector<std::unique_ptr<ClientWorker>> workers;
};

} // namespace cranberryreel::http
