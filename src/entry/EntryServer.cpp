#include "entry/EntryServer.h"

#include "config/KeyHash.h"
#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"
#include "http/ServerBuilder.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "upstream/ReportCodec.h"

#include <algorithm>

namespace cranberryreel::entry
{

namespace
{

using base::ResultCode;

constexpr std::chrono::milliseconds ConfigurationWaitLimit{2000};
constexpr std::chrono::milliseconds ConfigurationPollInterval{20};
constexpr unsigned int StatusOk = 200;
constexpr std::size_t MaxAnnouncementBytes = 72U << 20U; ///< Announcements carry the answers of ended tasks.
constexpr std::chrono::milliseconds FinalResponsesLimit{500};
constexpr const char *UnfinishedReason = "This VM stopped before the answer was known; ask another VM.";

const observe::Log &log()
{
    static const observe::Log instance("entry");
    return instance;
}

http::ServerOptions withBodyLimits(http::ServerOptions options)
{
    if (!options.maxBodyBytesOf) {
        const std::size_t defaultLimit = options.maxBodyBytes;
        options.maxBodyBytesOf = [defaultLimit](const std::string &path) {
            return path == "/v1/upstreams" ? std::max(defaultLimit, MaxAnnouncementBytes) : defaultLimit;
        };
    }
    return options;
}

/// Wraps the responder to record the time from now to the response in the route's histogram.
http::Responder withRecordedDuration(const http::Responder &respond, const Route &route)
{
    return [respond, durations = route.durations, begin = base::steadyNow()](http::Response response) {
        durations->record(base::steadyNow() - begin);
        respond(std::move(response));
    };
}

http::Response announceResponse(const AnnounceReply &reply)
{
    if (reply.code != ResultCode::Ok) {
        return http::errorResponse(reply.code, reply.reason);
    }
    return {StatusOk, "application/json", http::jsonText({{"epoch", reply.epoch}, {"next_in_ms", reply.nextIn.count()}}), false};
}

} // namespace

EntryServer::EntryServer(EntryOptions entryOptions, std::shared_ptr<Dispatcher> workDispatcher, std::shared_ptr<config::ConfigService> configuration)
    : options(std::move(entryOptions))
    , dispatcher(std::move(workDispatcher))
    , keyRing(configuration, options.operatorKeyHash)
    , workHandlers(options, dispatcher)
    , operatorHandlers(options, dispatcher)
    , configHandlers(std::move(configuration))
{
    this->addRoutes();
    this->server =
        http::ServerBuilder()
            .options(withBodyLimits(this->options.server))
            .unfinished(http::errorResponse(ResultCode::OutcomeUnknown, UnfinishedReason))
            .handler([this](const std::shared_ptr<const http::Request> &request, const http::Responder &respond) { this->handleRequest(request, respond); })
            .build();
}

EntryServer::~EntryServer()
{
    this->stop(std::chrono::milliseconds(0));
}

void EntryServer::addRoutes()
{
    this->workHandlers.addRoutes(this->router);
    this->operatorHandlers.addRoutes(this->router);
    this->configHandlers.addRoutes(this->router);
    this->router.add({"POST", "/v1/upstreams", Access::Upstream, [this](const RoutedRequest &routed) { this->announce(routed); }});
    this->router.add({"GET", "/healthz", Access::Open, [](const RoutedRequest &routed) {
                          routed.respond({StatusOk, "application/json", R"({"alive":true})", false});
                      }});
    this->router.add({"GET", "/readyz", Access::Open, [this](const RoutedRequest &routed) { this->respondReadiness(routed); }});
    this->router.add({"GET", "/metrics", Access::Open, [this](const RoutedRequest &routed) {
                          const std::string text = this->options.metricsText ? this->options.metricsText() : std::string();
                          routed.respond({StatusOk, "text/plain; version=0.0.4", text, false});
                      }});
}

void EntryServer::start()
{
    this->configurationRetries.start();
    this->server->start();
    log().info("Listening on {}:{}.", this->options.server.address, this->server->port());
}

std::uint16_t EntryServer::port() const
{
    return this->server->port();
}

std::size_t EntryServer::inFlight() const
{
    return this->server->inFlight();
}

void EntryServer::handleRequest(const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    this->handleBefore(base::steadyNow() + ConfigurationWaitLimit, request, respond);
}

void EntryServer::handleBefore(base::SteadyTime deadline, const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    static observe::Counter &refused = observe::counter("cranberryreel_entry_refused_total", "Requests answered with an error before any work was done.");
    try {
        auto [route, id] = this->router.find(request->method, request->path);
        if (this->needsNewerConfiguration(*route, *request)) {
            this->waitForConfiguration(deadline, request, respond);
            return;
        }
        const Identity identity = this->authenticate(*route, *request);
        route->handle({request, std::move(id), identity, withRecordedDuration(respond, *route)});
    } catch (const base::Error &) {
        refused.add();
        throw;
    }
}

/// Whether a partner's key cannot be checked yet: the configuration known here may be older than one this VM used before, so that both accepting and rejecting
/// the key could be wrong.
bool EntryServer::needsNewerConfiguration(const Route &route, const http::Request &request)
{
    const bool requiresKey = route.access == Access::Partner || route.access == Access::Operator;
    if (!requiresKey || !this->options.configurationUsable || this->options.configurationUsable()) {
        return false;
    }
    const std::optional<Identity> identity = this->keyRing.identify(bearerKey(request.authorization));
    return !identity || !identity->isOperator;
}

void EntryServer::waitForConfiguration(base::SteadyTime deadline, const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    if (this->stopping || base::steadyNow() >= deadline) {
        throw base::Error(ResultCode::ConfigurationUnavailable,
                          "Not run: this VM does not know the configuration in force yet; send the request to another VM.");
    }
    this->configurationRetries.postAfter(ConfigurationPollInterval, [this, deadline, request, respond] {
        try {
            this->handleBefore(deadline, request, respond);
        } catch (const base::Error &error) {
            respond(http::errorResponse(error.code(), error.what()));
        }
    });
}

Identity EntryServer::authenticate(const Route &route, const http::Request &request)
{
    if (route.access == Access::Open) {
        return {};
    }
    if (route.access == Access::Upstream) {
        this->checkUpstreamKey(request);
        return {};
    }
    const std::optional<Identity> identity = this->keyRing.identify(bearerKey(request.authorization));
    if (!identity) {
        throw base::Error(ResultCode::Unauthorized, "No partner has this key; send Authorization: Bearer KEY with a key from the register.");
    }
    if (route.access == Access::Operator && !identity->isOperator) {
        throw base::Error(ResultCode::Forbidden, "Only operators may use this path.");
    }
    return *identity;
}

void EntryServer::checkUpstreamKey(const http::Request &request) const
{
    const std::string &expectedHash = this->options.upstreamKeyHash;
    if (!expectedHash.empty() && config::keyHash(bearerKey(request.authorization)) != expectedHash) {
        throw base::Error(ResultCode::Unauthorized, "The upstream key is wrong or missing.");
    }
}

void EntryServer::announce(const RoutedRequest &routed)
{
    const nlohmann::json json = http::parseJson(routed.request->body);
    model::UpstreamReport report = upstream::upstreamReportFrom(http::JsonReader(json), upstream::Strictness::Strict);
    this->dispatcher->announce(std::move(report), [respond = routed.respond](const AnnounceReply &reply) { respond(announceResponse(reply)); });
}

void EntryServer::respondReadiness(const RoutedRequest &routed) const
{
    if (this->stopping) {
        routed.respond(http::errorResponse(ResultCode::ShuttingDown, "This VM is stopping."));
    } else if (this->options.ready && !this->options.ready()) {
        routed.respond(http::errorResponse(ResultCode::ConfigurationUnavailable, "This VM is not ready yet."));
    } else {
        routed.respond({StatusOk, "application/json", R"({"ready":true})", false});
    }
}

void EntryServer::beginStop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    log().info("Stopping: no longer ready; new work is refused in {} ms.", this->options.stopGrace.count());
    this->graceThread = std::thread([this] { this->refuseAfterGrace(); });
}

void EntryServer::refuseAfterGrace()
{
    {
        absl::MutexLock lock(&this->graceMutex);
        this->graceMutex.AwaitWithTimeout(absl::Condition(&this->graceSkipped), absl::FromChrono(this->options.stopGrace));
    }
    this->workHandlers.refuseNewWork();
    this->server->closeAfterResponses();
}

bool EntryServer::stop(std::chrono::milliseconds limit)
{
    if (this->stopped) {
        return true;
    }
    this->stopped = true;
    this->beginStop();
    const base::SteadyTime deadline = base::steadyNow() + limit;
    {
        absl::MutexLock lock(&this->graceMutex);
        this->graceSkipped = limit < this->options.stopGrace;
    }
    if (this->graceThread.joinable()) {
        this->graceThread.join();
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - base::steadyNow());
    const bool finished = this->server->awaitIdle(std::max(left, std::chrono::milliseconds(0)));
    this->workHandlers.answerOpenSubmissionsAsUnknown();
    this->configurationRetries.stop();
    this->server->stop(FinalResponsesLimit);
    log().info("Stopped; {}.", finished ? "every request was answered" : "some requests were answered as unknown");
    return finished;
}

} // namespace cranberryreel::entry
