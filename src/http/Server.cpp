#include "http/Server.h"

#include "cranberryreel/base/Error.h"
#include "http/AnswerWriter.h"
#include "http/ConnectionCap.h"
#include "http/ConnectionTable.h"
#include "http/Exchange.h"
#include "http/ListenSocket.h"
#include "http/RawAnswer.h"
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
constexpr unsigned int RefusalConnections = 256; ///< Beyond the limit, so that a refusal can be told.
constexpr std::size_t DrainFactor = 4; ///< An oversized body is read and dropped up to so many times its limit, so that the refusal reaches its sender.
constexpr std::chrono::milliseconds StopPoll{2};
constexpr std::chrono::milliseconds LastAnswersLimit{500};

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

std::string headerOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

ConnectionWatch *watchOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<ConnectionWatch *>(info->socket_context);
}

ServerOptions withinFileLimit(ServerOptions options)
{
    if (const unsigned int cap = connectionCap(options.maxConnections, openFileLimit()); cap < options.maxConnections) {
        log().warn("Takes {} connections at most, not {}; the process may open too few files.", cap, options.maxConnections);
        options.maxConnections = cap;
    }
    return options;
}

Response refusalOf(base::ResultCode code, std::size_t limit)
{
    Response response;
    if (code == base::ResultCode::BodyTooLarge) {
        response = errorResponse(code, "The body exceeds its limit of " + std::to_string(limit) + " bytes.");
    } else {
        response = errorResponse(code, "This VM holds as much as it may at the moment; try again later.");
    }
    response.closeConnection = true;
    return response;
}

} // namespace

struct Server::Core {
    Core(ServerOptions serverOptions, Handler requestHandler, Response unfinishedResponse)
        : options(withinFileLimit(std::move(serverOptions)))
        , handler(std::move(requestHandler))
        , unfinished(std::move(unfinishedResponse))
        , connections(options)
        , answers(options.maxAnswerBytes)
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

    MHD_Result begin(MHD_Connection *connection, const char *url, const char *method, void **state);
    MHD_Result receive(Exchange &exchange, const char *upload, std::size_t *size);
    MHD_Result write(MHD_Connection *connection, Response response)
    {
        return this->answers.write(connection, std::move(response)) ? MHD_YES : MHD_NO;
    }

    MHD_Result finish(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange);
    void handle(const std::shared_ptr<Exchange> &exchange);
    void answerLeftOver();
    bool awaitNone(std::chrono::milliseconds limit) const;

    ServerOptions options;
    Handler handler;
    Response unfinished;
    ConnectionTable connections;
    MHD_Daemon *daemon = nullptr;
    std::uint16_t port = 0;
    std::atomic<std::size_t> bufferedBytes{0};
    AnswerWriter answers;
    std::atomic<std::size_t> inFlight{0};
    std::atomic<bool> closing{false};
    std::atomic<bool> stopping{false};
};

MHD_Result Server::Core::onAccess(
    void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *upload, std::size_t *uploadSize, void **state)
{
    auto *core = static_cast<Core *>(self);
    if (*state == nullptr) {
        return core->begin(connection, url, method, state);
    }
    const auto &exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    if (*uploadSize != 0) {
        return core->receive(*exchange, upload, uploadSize);
    }
    return core->finish(connection, exchange);
}

MHD_Result Server::Core::begin(MHD_Connection *connection, const char *url, const char *method, void **state)
{
    ConnectionWatch *watch = watchOf(connection);
    if (watch == nullptr || !ConnectionTable::enter(*watch, ConnectionPhase::ReceivingBody)) {
        return MHD_NO;
    }
    auto exchange = std::make_shared<Exchange>(connection, *watch);
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.authorization = headerOf(connection, MHD_HTTP_HEADER_AUTHORIZATION);
    exchange->request.traceparent = headerOf(connection, "traceparent");
    for (const std::string &name : this->options.keptHeaders) {
        exchange->request.headers[name] = headerOf(connection, name.c_str());
    }
    exchange->request.connection = watch->number;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addParameter, &exchange->request.query);
    exchange->bodyLimit = this->options.maxBodyBytesOf ? this->options.maxBodyBytesOf(exchange->request.path) : this->options.maxBodyBytes;
    if (watch->overLimit) {
        exchange->refusal = base::ResultCode::TooManyConnections;
    }
    {
        absl::MutexLock lock(&watch->mutex);
        watch->exchange = exchange;
    }
    *state = new std::shared_ptr<Exchange>(exchange);
    const std::string length = headerOf(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
    if (!length.empty() && std::strtoull(length.c_str(), nullptr, 10) > exchange->bodyLimit * DrainFactor) {
        ConnectionTable::enter(*watch, ConnectionPhase::Answering);
        return this->write(connection, refusalOf(base::ResultCode::BodyTooLarge, exchange->bodyLimit));
    }
    return MHD_YES;
}

MHD_Result Server::Core::receive(Exchange &exchange, const char *upload, std::size_t *size)
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
        sendRawAnswer(exchange.watch.socket, refusalOf(exchange.refusal, exchange.bodyLimit));
        return MHD_NO;
    }
    return MHD_YES;
}

MHD_Result Server::Core::finish(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange)
{
    if (!exchange->whole) {
        if (!ConnectionTable::enter(exchange->watch, ConnectionPhase::Answering)) {
            return MHD_NO;
        }
        if (exchange->refusal != base::ResultCode::Ok) {
            return this->write(connection, refusalOf(exchange->refusal, exchange->bodyLimit));
        }
        exchange->whole = true;
        ++this->inFlight;
        this->handle(exchange);
    }
    std::optional<Response> response = exchange->takeOrPark();
    if (!response) {
        return MHD_YES;
    }
    response->closeConnection = response->closeConnection || this->closing || this->stopping;
    ConnectionTable::enter(exchange->watch, ConnectionPhase::Writing);
    return this->write(connection, *std::move(response));
}

void Server::Core::handle(const std::shared_ptr<Exchange> &exchange)
{
    const Responder respond = exchange->responder();
    if (this->stopping) {
        respond(errorResponse(base::ResultCode::ShuttingDown, "Not run: this VM is stopping; send the request to another."));
        return;
    }
    try {
        this->handler(std::shared_ptr<const Request>(exchange, &exchange->request), respond);
    } catch (const base::Error &error) {
        respond(errorResponse(error.code(), error.what()));
    } catch (const std::exception &error) {
        log().error("A handler failed on {}: {}.", exchange->request.path, error.what());
        respond(errorResponse(base::ResultCode::Internal, "The program has a fault; its log tells more."));
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
    if (exchange.whole) {
        --core->inFlight;
    }
    {
        absl::MutexLock lock(&exchange.watch.mutex);
        exchange.watch.exchange.reset();
    }
    ConnectionTable::enter(exchange.watch, ConnectionPhase::Idle);
}

void Server::Core::onConnection(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what)
{
    auto *core = static_cast<Core *>(self);
    if (what == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *context = core->connections.opened(info->connect_fd);
    } else if (*context != nullptr) {
        core->connections.closed(static_cast<ConnectionWatch *>(*context));
        *context = nullptr;
    }
}

void Server::Core::answerLeftOver()
{
    for (const auto &exchange : this->connections.exchanges()) {
        exchange->answer(this->unfinished);
    }
}

bool Server::Core::awaitNone(std::chrono::milliseconds limit) const
{
    const base::SteadyTime until = base::steadyNow() + limit;
    while (this->inFlight != 0) {
        if (base::steadyNow() >= until) {
            return false;
        }
        std::this_thread::sleep_for(StopPoll);
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
    Core &own = *this->core;
    const ListenSocket listening = openListenSocket(own.options.address, own.options.port);
    own.port = listening.port;
    const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    own.daemon = MHD_start_daemon(flags,
                                  0,
                                  nullptr,
                                  nullptr,
                                  &Core::onAccess,
                                  &own,
                                  MHD_OPTION_LISTEN_SOCKET,
                                  listening.descriptor,
                                  MHD_OPTION_THREAD_POOL_SIZE,
                                  own.options.threads,
                                  MHD_OPTION_CONNECTION_LIMIT,
                                  own.options.maxConnections + RefusalConnections,
                                  MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                  ConnectionMemoryBytes,
                                  MHD_OPTION_CONNECTION_TIMEOUT,
                                  static_cast<unsigned int>(own.options.stalledReaderLimit.count()),
                                  MHD_OPTION_NOTIFY_COMPLETED,
                                  &Core::onCompleted,
                                  &own,
                                  MHD_OPTION_NOTIFY_CONNECTION,
                                  &Core::onConnection,
                                  &own,
                                  MHD_OPTION_END);
    if (own.daemon == nullptr) {
        throw base::Error(base::ResultCode::Internal, "The HTTP server does not start; the machine may lack threads or descriptors.");
    }
}

void Server::closeAfterAnswers()
{
    this->core->closing = true;
}

bool Server::awaitIdle(std::chrono::milliseconds limit) const
{
    return this->core->awaitNone(limit);
}

bool Server::stop(std::chrono::milliseconds limit)
{
    Core &own = *this->core;
    if (own.daemon == nullptr) {
        return true;
    }
    const bool finished = own.awaitNone(limit);
    own.stopping = true;
    const base::SteadyTime until = base::steadyNow() + LastAnswersLimit;
    while (own.inFlight != 0 && base::steadyNow() < until) {
        own.answerLeftOver();
        std::this_thread::sleep_for(StopPoll);
    }
    own.answerLeftOver();
    MHD_stop_daemon(own.daemon);
    own.daemon = nullptr;
    own.connections.stop();
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
    return this->core->connections.lastNumber();
}

} // namespace cranberryreel::http
