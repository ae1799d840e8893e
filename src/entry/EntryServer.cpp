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

constexpr std::chrono::milliseconds ConfigurationPatience{2000};
constexpr std::chrono::milliseconds ConfigurationLookEvery{20};
constexpr unsigned int StatusOk = 200;
constexpr std::size_t AnnouncementBytes = 72U << 20U; ///< Announcements carry answers.
constexpr std::chrono::milliseconds LastAnswersLimit{500};
constexpr const char *Unfinished = "This VM stopped before the answer was known; ask another.";

const observe::Log &log()
{
    static const observe::Log instance("entry");
    return instance;
}

http::ServerOptions withBodyLimits(http::ServerOptions options)
{
    if (!options.maxBodyBytesOf) {
        const std::size_t others = options.maxBodyBytes;
        options.maxBodyBytesOf = [others](const std::string &path) { return path == "/v1/upstreams" ? std::max(others, AnnouncementBytes) : others; };
    }
    return options;
}

/// Passes the answer on and records how long it took.
http::Responder timed(const http::Responder &respond, const Route &route)
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
    , keys(configuration, options.operatorKeyHash)
    , work(options, dispatcher)
    , operators(options, dispatcher)
    , configs(std::move(configuration))
{
    this->addRoutes();
    this->server = http::ServerBuilder()
                       .options(withBodyLimits(this->options.server))
                       .unfinished(http::errorResponse(ResultCode::OutcomeUnknown, Unfinished))
                       .handler([this](const std::shared_ptr<const http::Request> &request, const http::Responder &respond) { this->serve(request, respond); })
                       .build();
}

EntryServer::~EntryServer()
{
    this->stop(std::chrono::milliseconds(0));
}

void EntryServer::addRoutes()
{
    this->work.addRoutes(this->router);
    this->operators.addRoutes(this->router);
    this->configs.addRoutes(this->router);
    this->router.add({"POST", "/v1/upstreams", Access::Upstream, [this](const Call &call) { this->announce(call); }});
    this->router.add({"GET", "/healthz", Access::Open, [](const Call &call) { call.respond({StatusOk, "application/json", R"({"alive":true})", false}); }});
    this->router.add({"GET", "/readyz", Access::Open, [this](const Call &call) { this->readiness(call); }});
    this->router.add({"GET", "/metrics", Access::Open, [this](const Call &call) {
                          const std::string text = this->options.metricsText ? this->options.metricsText() : std::string();
                          call.respond({StatusOk, "text/plain; version=0.0.4", text, false});
                      }});
}

void EntryServer::start()
{
    this->waiting.start();
    this->server->start();
    log().info("Serves on {}:{}.", this->options.server.address, this->server->port());
}

std::uint16_t EntryServer::port() const
{
    return this->server->port();
}

std::size_t EntryServer::inFlight() const
{
    return this->server->inFlight();
}

void EntryServer::serve(const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    this->serveBefore(base::steadyNow() + ConfigurationPatience, request, respond);
}

void EntryServer::serveBefore(base::SteadyTime until, const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    static observe::Counter &refused = observe::counter("cranberryreel_entry_refused_total", "Requests answered with an error before any work was done.");
    try {
        auto [route, id] = this->router.find(request->method, request->path);
        if (this->needsNewerConfiguration(*route, *request)) {
            this->waitForConfiguration(until, request, respond);
            return;
        }
        const Identity identity = this->identityFor(*route, *request);
        route->handle({request, std::move(id), identity, timed(respond, *route)});
    } catch (const base::Error &) {
        refused.add();
        throw;
    }
}

/// What is in force here may be older than what this VM served on before; neither a yes nor a no to a partner's key would be sure.
bool EntryServer::needsNewerConfiguration(const Route &route, const http::Request &request)
{
    const bool byKey = route.access == Access::Partner || route.access == Access::Operator;
    if (!byKey || !this->options.configured || this->options.configured()) {
        return false;
    }
    const std::optional<Identity> identity = this->keys.identify(bearerKey(request.authorization));
    return !identity || !identity->isOperator;
}

void EntryServer::waitForConfiguration(base::SteadyTime until, const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    if (this->stopping || base::steadyNow() >= until) {
        throw base::Error(ResultCode::ConfigurationUnavailable, "Not run: this VM has yet to learn the configuration in force; ask another one.");
    }
    this->waiting.postAfter(ConfigurationLookEvery, [this, until, request, respond] {
        try {
            this->serveBefore(until, request, respond);
        } catch (const base::Error &error) {
            respond(http::errorResponse(error.code(), error.what()));
        }
    });
}

Identity EntryServer::identityFor(const Route &route, const http::Request &request)
{
    if (route.access == Access::Open) {
        return {};
    }
    if (route.access == Access::Upstream) {
        this->checkUpstreamKey(request);
        return {};
    }
    const std::optional<Identity> identity = this->keys.identify(bearerKey(request.authorization));
    if (!identity) {
        throw base::Error(ResultCode::Unauthorized, "No partner has this key; send Authorization: Bearer KEY with one that the register knows.");
    }
    if (route.access == Access::Operator && !identity->isOperator) {
        throw base::Error(ResultCode::Forbidden, "Only operators may do this.");
    }
    return *identity;
}

void EntryServer::checkUpstreamKey(const http::Request &request) const
{
    const std::string &wanted = this->options.upstreamKeyHash;
    if (!wanted.empty() && config::keyHash(bearerKey(request.authorization)) != wanted) {
        throw base::Error(ResultCode::Unauthorized, "The upstreams' key is wrong or absent.");
    }
}

void EntryServer::announce(const Call &call)
{
    const nlohmann::json json = http::parseJson(call.request->body);
    model::UpstreamReport report = upstream::upstreamReportFrom(http::JsonReader(json), upstream::Strictness::Strict);
    this->dispatcher->announce(std::move(report), [respond = call.respond](const AnnounceReply &reply) { respond(announceResponse(reply)); });
}

void EntryServer::readiness(const Call &call) const
{
    if (this->stopping) {
        call.respond(http::errorResponse(ResultCode::ShuttingDown, "This VM is stopping."));
    } else if (this->options.ready && !this->options.ready()) {
        call.respond(http::errorResponse(ResultCode::ConfigurationUnavailable, "This VM is not ready yet."));
    } else {
        call.respond({StatusOk, "application/json", R"({"ready":true})", false});
    }
}

void EntryServer::beginStop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    log().info("Stops: not ready from now on, new work is refused in {} ms.", this->options.stopGrace.count());
    this->grace = std::thread([this] { this->refuseAfterGrace(); });
}

void EntryServer::refuseAfterGrace()
{
    {
        absl::MutexLock lock(&this->graceMutex);
        this->graceMutex.AwaitWithTimeout(absl::Condition(&this->graceCut), absl::FromChrono(this->options.stopGrace));
    }
    this->work.refuseNewWork();
    this->server->closeAfterAnswers();
}

bool EntryServer::stop(std::chrono::milliseconds limit)
{
    if (this->stopped) {
        return true;
    }
    this->stopped = true;
    this->beginStop();
    const base::SteadyTime until = base::steadyNow() + limit;
    {
        absl::MutexLock lock(&this->graceMutex);
        this->graceCut = limit < this->options.stopGrace;
    }
    if (this->grace.joinable()) {
        this->grace.join();
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - base::steadyNow());
    const bool finished = this->server->awaitIdle(std::max(left, std::chrono::milliseconds(0)));
    this->work.answerOpenAsUnknown();
    this->waiting.stop();
    this->server->stop(LastAnswersLimit);
    log().info("Stopped; {}.", finished ? "every request was answered" : "some requests were answered as unknown");
    return finished;
}

} // namespace cranberryreel::entry
