#include "http/Transfer.h"

#include "observe/Metrics.h"

#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cranberryreel::http
{

namespace
{

constexpr std::chrono::milliseconds DeadlineSlack{20};

CallOutcome outcomeOf(CURLcode result)
{
    switch (result) {
    case CURLE_OK:
        return CallOutcome::Answered;
    case CURLE_OPERATION_TIMEDOUT:
        return CallOutcome::TimedOut;
    case CURLE_WRITE_ERROR:
        return CallOutcome::TooLarge;
    default:
        return CallOutcome::Unreachable;
    }
}

/// Closes a socket and discards what its peer has not received. The kernel would go on sending that after the close, long after the call has ended.
int closeWithoutDelivery(void *, curl_socket_t socket)
{
    int undelivered = 0;
    if (::ioctl(socket, SIOCOUTQ, &undelivered) == 0 && undelivered > 0) {
        const linger discard{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    return ::close(socket);
}

} // namespace

Transfer::Transfer()
    : curl(curl_easy_init())
{
}

Transfer::~Transfer()
{
    curl_slist_free_all(this->headers);
    curl_easy_cleanup(this->curl);
}

void Transfer::prepare(ClientRequest newRequest, ClientDone newDone, base::SteadyTime deadline, const ClientOptions &options, bool freshConnection)
{
    this->request = std::move(newRequest);
    this->done = std::move(newDone);
    this->response = {};
    this->callDeadline = deadline + DeadlineSlack;
    this->maxResponseBytes = options.maxResponseBytes;
    curl_easy_reset(this->curl);
    const std::string url = "http://" + this->request.host + this->request.target;
    curl_easy_setopt(this->curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(this->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(this->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->curl, CURLOPT_CLOSESOCKETFUNCTION, &closeWithoutDelivery);
    curl_easy_setopt(this->curl, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(this->curl, CURLOPT_PRIVATE, this);
    curl_easy_setopt(this->curl, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(this->curl, CURLOPT_WRITEDATA, this);
    this->sendBegun = false;
    if (this->request.method != "GET") {
        curl_easy_setopt(this->curl, CURLOPT_PREREQFUNCTION, &Transfer::onReadyToSend);
        curl_easy_setopt(this->curl, CURLOPT_PREREQDATA, this);
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - base::steadyNow());
    const auto limit = std::max<std::chrono::milliseconds::rep>(left.count(), 1);
    curl_easy_setopt(this->curl, CURLOPT_TIMEOUT_MS, static_cast<long>(limit));
    curl_easy_setopt(this->curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(options.connectLimit.count()));
    curl_easy_setopt(this->curl, CURLOPT_MAXAGE_CONN, static_cast<long>(options.maxIdleTime.count()));
    curl_easy_setopt(this->curl, CURLOPT_FRESH_CONNECT, freshConnection ? 1L : 0L);
    if (this->request.method == "POST" || this->request.method == "PUT") {
        curl_easy_setopt(this->curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(this->request.body.size()));
        curl_easy_setopt(this->curl, CURLOPT_POSTFIELDS, this->request.body.data());
    }
    if (this->request.method != "POST" && this->request.method != "GET") {
        curl_easy_setopt(this->curl, CURLOPT_CUSTOMREQUEST, this->request.method.c_str());
    }
    this->setHeaders();
}

void Transfer::setHeaders()
{
    curl_slist_free_all(this->headers);
    this->headers = curl_slist_append(nullptr, "Expect:");
    if (!this->request.body.empty()) {
        this->headers = curl_slist_append(this->headers, "Content-Type: application/json");
    }
    if (!this->request.bearerKey.empty()) {
        this->headers = curl_slist_append(this->headers, ("Authorization: Bearer " + this->request.bearerKey).c_str());
    }
    if (!this->request.traceparent.empty()) {
        this->headers = curl_slist_append(this->headers, ("traceparent: " + this->request.traceparent).c_str());
    }
    for (const auto &[name, value] : this->request.headers) {
        std::string line = name;
        line.append(": ").append(value);
        this->headers = curl_slist_append(this->headers, line.c_str());
    }
    curl_easy_setopt(this->curl, CURLOPT_HTTPHEADER, this->headers);
}

/// Allows only one send. libcurl repeats a request by itself if a pooled connection breaks before any response, but a request that changes state must not be
/// sent twice, because the server may have read the first one. Allows no send after the deadline, because
/// the sender has given the call up by then.
int Transfer::onReadyToSend(void *self, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(self);
    if (base::steadyNow() >= transfer->callDeadline) {
        return CURL_PREREQFUNC_ABORT;
    }
    return std::exchange(transfer->sendBegun, true) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::size_t bytes = size * count;
    if (transfer->response.body.size() + bytes > transfer->maxResponseBytes) {
        return 0;
    }
    transfer->response.body.append(data, bytes);
    return bytes;
}

bool Transfer::hasSentBytes() const
{
    long requestBytes = 0;
    curl_off_t uploaded = 0;
    curl_easy_getinfo(this->curl, CURLINFO_REQUEST_SIZE, &requestBytes);
    curl_easy_getinfo(this->curl, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    return requestBytes > 0 || uploaded > 0;
}

bool Transfer::timedOutOnReusedConnection(CURLcode result) const
{
    long connects = 0;
    long headerBytes = 0;
    curl_easy_getinfo(this->curl, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(this->curl, CURLINFO_HEADER_SIZE, &headerBytes);
    return result == CURLE_OPERATION_TIMEDOUT && connects == 0 && headerBytes == 0 && this->hasSentBytes();
}

void Transfer::countBytes() const
{
    static observe::Counter &sent = observe::counter("cranberryreel_http_client_bytes_total", "Bytes of HTTP calls, headers included.", "direction=\"out\"");
    static observe::Counter &received = observe::counter("cranberryreel_http_client_bytes_total", "Bytes of HTTP calls, headers included.", "direction=\"in\"");
    long requestBytes = 0;
    long headerBytes = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(this->curl, CURLINFO_REQUEST_SIZE, &requestBytes);
    curl_easy_getinfo(this->curl, CURLINFO_HEADER_SIZE, &headerBytes);
    curl_easy_getinfo(this->curl, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(this->curl, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    sent.add(static_cast<std::uint64_t>(requestBytes + uploaded));
    received.add(static_cast<std::uint64_t>(headerBytes + downloaded));
}

void Transfer::finish(CURLcode result)
{
    this->countBytes();
    this->response.outcome = outcomeOf(result);
    // A request whose sending has begun may have arrived, even if libcurl counts no byte of it after a failed write.
    this->response.sent = result == CURLE_OK || this->sendBegun || this->hasSentBytes();
    // libcurl reports a lack of local sockets or of a path to the host by the same code as a refusal.
    long systemError = 0;
    curl_easy_getinfo(this->curl, CURLINFO_OS_ERRNO, &systemError);
    this->response.refused = result == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
    curl_easy_getinfo(this->curl, CURLINFO_RESPONSE_CODE, &this->response.status);
    if (result != CURLE_OK) {
        this->response.error = curl_easy_strerror(result);
        this->response.status = 0;
        this->response.body.clear();
    }
    this->deliver();
}

void Transfer::finishAsStopped()
{
    this->response = {};
    this->response.outcome = CallOutcome::Stopped;
    this->response.sent = this->hasSentBytes();
    this->response.error = "The client is stopping";
    this->deliver();
}

void Transfer::deliver()
{
    const ClientDone called = std::move(this->done);
    this->done = nullptr;
    called(std::move(this->response));
}

} // namespace cranberryreel::http
