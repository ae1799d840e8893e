#pragma once

#include "http/ClientOptions.h"
#include "http/ClientRequest.h"
#include "http/ClientResponse.h"

#include <memory>
#include <vector>

namespace cranberryreel::http
{

class ClientWorker;

/// An HTTP/1.1 client over libcurl's multi interface: many calls at once over pooled connections, on threads of its own. Owned by whoever calls out.
class Client
{
public:
    explicit Client(const ClientOptions &options = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Any thread. The callback comes at the latest when the limit has passed.
    void call(ClientRequest request, ClientDone done);

    /// The same, waiting for the end. Not from a callback.
    ClientResponse callAndWait(ClientRequest request);

    /// Ends all calls with Stopped and joins the threads. Calls made later end the same way.
    void stop();

private:
    std::vector<std::unique_ptr<ClientWorker>> workers;
};

} // namespace cranberryreel::http
