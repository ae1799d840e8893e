#pragma once

#include "cranberryreel/base/Clock.h"
#include "http/ClientOptions.h"
#include "http/ClientRequest.h"
#include "http/ClientResponse.h"

#include <curl/curl.h>

#include <string>

namespace cranberryreel::http
{

/// One call on one libcurl handle. Handles are kept and used again. Owned by its ClientWorker, used on that thread only.
class Transfer
{
public:
    Transfer();
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    /// Sets the handle up for a call; `freshConnection` as in the request, or because the host's pooled connections are in doubt.
    void prepare(ClientRequest newRequest, ClientDone newDone, const ClientOptions &options, bool freshConnection);

    /// Hands the result to the caller and clears the call.
    void finish(CURLcode result);
    void finishStopped();

    /// Whether it ended by its limit, on a connection used before, without one byte of an answer.
    bool endedSilently(CURLcode result) const;

    CURL *handle() const
    {
        return this->curl;
    }

    /// The latest end of the call; libcurl's own limit comes a little earlier, but does not hold for calls that wait for a connection.
    base::SteadyTime deadline() const
    {
        return this->latestEnd;
    }

    const std::string &host() const
    {
        return this->request.host;
    }

private:
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    static int onReadyToSend(void *self, char *remoteAddress, char *localAddress, int remotePort, int localPort);
    void countBytes() const;
    bool sentAnything() const;
    void setHeaders();
    void deliver();

    CURL *curl;
    curl_slist *headers = nullptr;
    ClientRequest request;
    ClientResponse response;
    ClientDone done;
    std::size_t maxAnswerBytes = 0;
    base::SteadyTime latestEnd;
    bool sentOnce = false; ///< A connection was ready for it and got it, in part at least.
};

} // namespace cranberryreel::http
