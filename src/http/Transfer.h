#pragma once

#include "cranberryreel/base/Clock.h"
#include "http/ClientOptions.h"
#include "http/ClientRequest.h"
#include "http/ClientResponse.h"

#include <curl/curl.h>

#include <string>

namespace cranberryreel::http
{

/// One call on one libcurl handle; reused for later calls. Owned by its ClientWorker, used on that thread only.
class Transfer
{
public:
    Transfer();
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    /// Prepares the handle for a call that ends at `deadline`. `freshConnection` prevents the reuse of a pooled connection.
    void prepare(ClientRequest newRequest, ClientDone newDone, base::SteadyTime deadline, const ClientOptions &options, bool freshConnection);

    /// Passes the result to the callback and clears the call.
    void finish(CURLcode result);

    /// Ends the call with Stopped.
    void finishAsStopped();

    /// Whether the call timed out on a reused connection without receiving any byte of a response.
    bool timedOutOnReusedConnection(CURLcode result) const;

    CURL *handle() const
    {
        return this->curl;
    }

    /// The latest end of the call. libcurl's own limit is slightly earlier, but does not cover calls that wait for a connection.
    base::SteadyTime deadline() const
    {
        return this->callDeadline;
    }

    const std::string &host() const
    {
        return this->request.host;
    }

private:
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    static int onReadyToSend(void *self, char *remoteAddress, char *localAddress, int remotePort, int localPort);
    void countBytes() const;
    bool hasSentBytes() const;
    void setHeaders();
    void deliver();

    CURL *curl;
    curl_slist *headers = nullptr;
    ClientRequest request;
    ClientResponse response;
    ClientDone done;
    std::size_t maxResponseBytes = 0;
    base::SteadyTime callDeadline;
    bool sendBegun = false; ///< A connection was ready and sending began.
};

} // namespace cranberryreel::http
