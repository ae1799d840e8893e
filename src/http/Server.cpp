#include "http/Server.h"

#include "cranberryreel/base/Error.h"
#include "http/ConnectionCap.h"
#include "http/ConnectionTable.h"
#include "http/Exchange.h"
#include "http/ListenSocket.h"
#include "http/RawResponse.h"
#include "http/ResponseWriter.h"
#include "observe/Log.h"

#include <microhttpd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

namespace cranberryreel::http
{

namespace
{

constexpr std::size_t ConnectionMemoryBytes = 8U << 10U;
constexpr unsigned int RefusalConnections = 256; ///< Accepted beyond the limit of connections, so that they can receive a refusal.
constexpr std::size_t DrainFactor = 4; ///< A body is read and dropped up to this many times its limit, so that its sender reads the refusal.
constexpr std::chrono::milliseconds StopPollInterval{2};
constexpr std::chrono::milliseconds FinalResponsesLimit{500};

const observe::Log &log()
{
    static const observe::Log instance("http");
    return instance;
}

MHD_Result addParameter(void *target, MHD_ValueKind, const char *key, const char *value)
{
    auto &query = *static_cast<std::map<std::string, std::string> *>(target);
    query[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

std::string headerValue(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

TrackedConnection *trackedConnectionOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<TrackedConnection *>(info->socket_context);
}

ServerOptions limitedByOpenFiles(ServerOptions options)
{
    if (const unsigned int cap = connectionCap(options.maxConnections, openFileLimit()); cap < options.maxConnections) {
        log().warn("Limits connections to {} instead of {}, because the process may not open enough files.", cap, options.maxConnections);
        options.maxConnections = cap;
    }
    return options;
}

Response refusalResponse(base::ResultCode code, std::size_t limit)
{
    Response response;
    if (code == base::ResultCode::BodyTooLarge) {
        response = errorResponse(code, "The body exceeds its limit of " + std::to_string(limit) + " bytes.");
    } else {
        response = errorResponse(code, "This VM is at its limit of connections or buffered bytes; try again later.");
    }
    response.closeConnection = true;
    return response;
}

} // namespace

struct Server::Core {
    Core(ServerOptions serverOptions, Handler requestHandler, Response unfinishedResponse)
        : options(limitedByOpenFiles(std::move(serverOptions)))
        , handler(std::move(requestHandler))
        , unfinished(std::move(unfinishedResponse))
        , connections(options)
        , responseWriter(options.maxResponseBytes)
    {
    }

    static MHD_Result onAccess(void *self,
                               MHD_Connection *connection,
                               const char *url,
                               const char *method,
                               const char *version,
                               const char *upload,
                               std::size_t *uploadSize,
                               void **state);
    static void onCompleted(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode why);
    static void onConnection(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what);

    MHD_Result beginRequest(MHD_Connection *connection, const char *url, const char *method, void **state);
    MHD_Result receiveBody(Exchange &exchange, const char *upload, std::size_t *size);
    MHD_Result write(MHD_Connection *connection, Response response)
    {
        return this->responseWriter.write(connection, std::move(response)) ? MHD_YES : MHD_NO;
    }

    MHD_Result finishRequest(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange);
    void callHandler(const std::shared_ptr<Exchange> &exchange);
    void answerUnfinished();
    bool awaitIdle(std::chrono::milliseconds limit) const;

    ServerOptions options;
    Handler handler;
    Response unfinished;
    ConnectionTable connections;
    MHD_Daemon *daemon = nullptr;
    std::uint16_t port = 0;
    std::atomic<std::size_t> bufferedBytes{0};
    ResponseWriter responseWriter;
    std::atomic<std::size_t> inFlight{0};
    std::atomic<bool> closing{false};
    std::atomic<bool> stopping{false};
};

MHD_Result Server::Core::onAccess(
    void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *upload, std::size_t *uploadSize, void **state)
{
    auto *core = static_cast<Core *>(self);
    if (*state == nullptr) {
        return core->beginRequest(connection, url, method, state);
    }
    const auto &exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    if (*uploadSize != 0) {
        return core->receiveBody(*exchange, upload, uploadSize);
    }
    return core->finishRequest(connection, exchange);
}

MHD_Result Server::Core::beginRequest(MHD_Connection *connection, const char *url, const char *method, void **state)
{
    TrackedConnection *tracked = trackedConnectionOf(connection);
    if (tracked == nullptr || !ConnectionTable::enterPhase(*tracked, ConnectionPhase::ReceivingBody)) {
        return MHD_NO;
    }
    auto exchange = std::make_shared<Exchange>(connection, *tracked);
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.authorization = headerValue(connection, MHD_HTTP_HEADER_AUTHORIZATION);
    exchange->request.traceparent = headerValue(connection, "traceparent");
    for (const std::string &name : this->options.forwardedHeaders) {
        exchange->request.headers[name] = headerValue(connection, name.c_str());
    }
    exchange->request.connection = tracked->number;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addParameter, &exchange->request.query);
    exchange->bodyLimit = this->options.maxBodyBytesOf ? this->options.maxBodyBytesOf(exchange->request.path) : this->options.maxBodyBytes;
    if (tracked->overLimit) {
        exchange->refusal = base::ResultCode::TooManyConnections;
    }
    {
        absl::MutexLock lock(&tracked->mutex);
        tracked->exchange = exchange;
    }
    *state = new std::shared_ptr<Exchange>(exchange);
    const std::string length = headerValue(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
    if (!length.empty() && std::strtoull(length.c_str(), nullptr, 10) > exchange->bodyLimit * DrainFactor) {
        ConnectionTable::enterPhase(*tracked, ConnectionPhase::AwaitingResponse);
        return this->write(connection, refusalResponse(base::ResultCode::BodyTooLarge, exchange->bodyLimit));
    }
    return MHD_YES;
}

MHD_Result Server::Core::receiveBody(Exchange &exchange, const char *upload, std::size_t *size)
{
    exchange.received += *size;
    if (exchange.refusal == base::ResultCode::Ok && exchange.received > exchange.bodyLimit) {
        exchange.refusal = base::ResultCode::BodyTooLarge;
    }
    if (exchange.refusal == base::ResultCode::Ok) {
        exchange.buffered += *size;
        if ((this->bufferedBytes += *size) > this->options.maxBufferedBytes) {
            exchange.refusal = base::ResultCode::TooManyConnections;
        } else {
            exchange.request.body.append(upload, *size);
        }
    }
    if (exchange.refusal != base::ResultCode::Ok) {
        std::string().swap(exchange.request.body);
    }
    *size = 0;
    if (exchange.received > exchange.bodyLimit * DrainFactor) {
        sendRawResponse(exchange.tracked.socket, refusalResponse(exchange.refusal, exchange.bodyLimit));
        return MHD_NO;
    }
    return MHD_YES;
}

MHD_Result Server::Core::finishRequest(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange)
{
    if (!exchange->complete) {
        if (!ConnectionTable::enterPhase(exchange->tracked, ConnectionPhase::AwaitingResponse)) {
            return MHD_NO;
        }
        if (exchange->refusal != base::ResultCode::Ok) {
            return this->write(connection, refusalResponse(exchange->refusal, exchange->bodyLimit));
        }
        exchange->complete = true;
        ++this->inFlight;
        this->callHandler(exchange);
    }
    std::optional<Response> response = exchange->takeResponseOrSuspend();
    if (!response) {
        return MHD_YES;
    }
    response->closeConnection = response->closeConnection || this->closing || this->stopping;
    ConnectionTable::enterPhase(exchange->tracked, ConnectionPhase::Writing);
    return this->write(connection, *std::move(response));
}

void Server::Core::callHandler(const std::shared_ptr<Exchange> &exchange)
{
    const Responder respond = exchange->responder();
    if (this->stopping) {
        respond(errorResponse(base::ResultCode::ShuttingDown, "Not run: this VM is stopping; send the request to another VM."));
        return;
    }
    try {
        this->handler(std::shared_ptr<const Request>(exchange, &exchange->request), respond);
    } catch (const base::Error &error) {
        respond(errorResponse(error.code(), error.what()));
    } catch (const std::exception &error) {
        log().error("A handler failed on {}: {}.", exchange->request.path, error.what());
        respond(errorResponse(base::ResultCode::Internal, "Internal error; see the log of this VM."));
    }
}

void Server::Core::onCompleted(void *self, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    if (*state == nullptr) {
        return;
    }
    auto *core = static_cast<Core *>(self);
    const std::unique_ptr<std::shared_ptr<Exchange>> held(static_cast<std::shared_ptr<Exchange> *>(*state));
    *state = nullptr;
    Exchange &exchange = **held;
    exchange.detach();
    core->bufferedBytes -= exchange.buffered;
    if (exchange.complete) {
        --core->inFlight;
    }
    {
        absl::MutexLock lock(&exchange.tracked.mutex);
        exchange.tracked.exchange.reset();
    }
    ConnectionTable::enterPhase(exchange.tracked, ConnectionPhase::Idle);
}

void Server::Core::onConnection(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what)
{
    auto *core = static_cast<Core *>(self);
    if (what == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *context = core->connections.add(info->connect_fd);
    } else if (*context != nullptr) {
        core->connections.remove(static_cast<TrackedConnection *>(*context));
        *context = nullptr;
    }
}

void Server::Core::answerUnfinished()
{
    for (const auto &exchange : this->connections.exchanges()) {
        exchange->setResponse(this->unfinished);
    }
}

bool Server::Core::awaitIdle(std::chrono::milliseconds limit) const
{
    const base::SteadyTime until = base::steadyNow() + limit;
    while (this->inFlight != 0) {
        if (base::steadyNow() >= until) {
            return false;
        }
        std::this_thread::sleep_for(StopPollInterval);
    }
    return true;
}

Server::Server(ServerOptions options, Handler handler, Response unfinished)
    : core(std::make_unique<Core>(std::move(options), std::move(handler), std::move(unfinished)))
{
}

Server::~Server()
{
    this->stop(std::chrono::milliseconds(0));
}

void Server::start()
{
    Core &state = *this->core;
    const ListenSocket listening = openListenSocket(state.options.address, state.options.port);
    state.port = listening.port;
    const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    state.daemon = MHD_start_daemon(flags,
                                    0,
                                    nullptr,
                                    nullptr,
                                    &Core::onAccess,
                                    &state,
                                    MHD_OPTION_LISTEN_SOCKET,
                                    listening.descriptor,
                                    MHD_OPTION_THREAD_POOL_SIZE,
                                    state.options.threads,
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    state.options.maxConnections + RefusalConnections,
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                    ConnectionMemoryBytes,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    static_cast<unsigned int>(state.options.stalledReaderLimit.count()),
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    &Core::onCompleted,
                                    &state,
                                    MHD_OPTION_NOTIFY_CONNECTION,
                                    &Core::onConnection,
                                    &state,
                                    MHD_OPTION_END);
    if (state.daemon == nullptr) {
        throw base::Error(base::ResultCode::Internal, "The HTTP server cannot start; the machine may be out of threads or file descriptors.");
    }
}

void Server::closeAfterResponses()
{
    this->core->closing = true;
}

bool Server::awaitIdle(std::chrono::milliseconds limit) const
{
    return this->core->awaitIdle(limit);
}

bool Server::stop(std::chrono::milliseconds limit)
{
    Core &state = *this->core;
    if (state.daemon == nullptr) {
        return true;
    }
    const bool finished = state.awaitIdle(limit);
    state.stopping = true;
    const base::SteadyTime until = base::steadyNow() + FinalResponsesLimit;
    while (state.inFlight != 0 && base::steadyNow() < until) {
        state.answerUnfinished();
        std::this_thread::sleep_for(StopPollInterval);
    }
    state.answerUnfinished();
    MHD_stop_daemon(state.daemon);
    state.daemon = nullptr;
    state.connections.stop();
    return finished;
}

std::uint16_t Server::port() const
{
    return this->core->port;
}

std::size_t Server::inFlight() const
{
    return this->core->inFlight;
}

std::uint64_t Server::lastConnection() const
{
    return this->core->connections.lastConnectionNumber();
}

} // namespace cranberryreel::http
