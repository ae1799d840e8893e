#include "support/FakeUpstream.h"

#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"
#include "http/ServerBuilder.h"
#include "upstream/ReportCodec.h"

#include <algorithm>

namespace cranberryreel::testsupport
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds AnnounceLimit{2000};
constexpr milliseconds AnnounceRetry{200};
constexpr milliseconds AnnounceSpacing{20};
constexpr milliseconds MaxSleep{1000};
constexpr std::string_view TaskPrefix = "/v1/tasks/";

http::ServerOptions serverOptions(const FakeUpstreamOptions &options)
{
    http::ServerOptions server;
    server.address = options.listenAddress;
    server.port = options.port;
    server.threads = 1;
    server.maxConnections = 512;
    server.idleLimit = std::chrono::minutes(10);
    server.stalledReaderLimit = std::chrono::minutes(10);
    return server;
}

} // namespace

FakeUpstream::FakeUpstream(FakeUpstreamOptions upstreamOptions, FakeJournal &journal, http::Client &announceClient)
    : options(std::move(upstreamOptions))
    , client(announceClient)
    , table(options, journal)
    , announceAt(base::steadyNow())
{
    this->server =
        http::ServerBuilder()
            .options(serverOptions(this->options))
            .handler([this](const std::shared_ptr<const http::Request> &request, const http::Responder &respond) { this->handleRequest(request, respond); })
            .build();
}

FakeUpstream::~FakeUpstream()
{
    this->stop();
}

void FakeUpstream::start()
{
    this->server->start();
    this->timer = std::thread([this] { this->run(); });
}

void FakeUpstream::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        this->changed.SignalAll();
    }
    if (this->timer.joinable()) {
        this->timer.join();
    }
    {
        const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) { return !this->announcing; };
        absl::MutexLock lock(&this->mutex);
        this->mutex.Await(absl::Condition(&idle));
    }
    this->server->stop(milliseconds(0));
}

std::string FakeUpstream::address() const
{
    return this->options.listenAddress + ":" + std::to_string(this->server->port());
}

model::UpstreamReport FakeUpstream::report()
{
    absl::MutexLock lock(&this->mutex);
    model::UpstreamReport report = this->table.report(base::steadyNow());
    report.address = this->options.advertise.empty() ? this->address() : this->options.advertise;
    return report;
}

void FakeUpstream::handleRequest(const std::shared_ptr<const http::Request> &request, const http::Responder &respond)
{
    if (request->path == "/fault") {
        respond(this->fault(http::parseJson(request->body)));
        return;
    }
    const PendingRequest waiting{request, respond, base::steadyNow()};
    absl::MutexLock lock(&this->mutex);
    if (request->connection <= this->silencedConnection) {
        this->neverAnswered.push_back(waiting);
    } else if (this->frozen) {
        this->heldWhileFrozen.push_back(waiting);
    } else {
        this->process(waiting);
    }
}

void FakeUpstream::process(const PendingRequest &waiting)
{
    const http::Request &request = *waiting.request;
    const base::SteadyTime now = base::steadyNow();
    this->table.advance(now);
    try {
        if (request.method == "POST" && request.path == "/v1/tasks") {
            this->table.start(http::parseJson(request.body), waiting.receivedAt, now, {waiting.respond, request.connection, now});
        } else if (request.method == "POST" && request.path == "/v1/renew") {
            waiting.respond(this->table.renew(http::parseJson(request.body), now));
        } else {
            waiting.respond(this->processTaskCall(request, now));
        }
    } catch (const base::Error &error) {
        waiting.respond(http::errorResponse(error.code(), error.what()));
    } catch (const nlohmann::json::exception &error) {
        waiting.respond(http::errorResponse(base::ResultCode::FieldWrongType, error.what()));
    }
    this->changed.SignalAll();
}

http::Response FakeUpstream::processTaskCall(const http::Request &request, base::SteadyTime now)
{
    if (request.path.rfind(TaskPrefix, 0) != 0) {
        return http::errorResponse(base::ResultCode::NotFound, "The path does not exist.");
    }
    const std::string rest = request.path.substr(TaskPrefix.size());
    const std::size_t slash = rest.find('/');
    if (request.method == "GET" && slash == std::string::npos) {
        return this->table.taskStatus(rest, now);
    }
    if (request.method == "POST" && slash != std::string::npos) {
        return this->table.command(rest.substr(0, slash), rest.substr(slash + 1), http::parseJson(request.body), now);
    }
    return http::errorResponse(base::ResultCode::MethodNotAllowed, "The path does not support this method.");
}

http::Response FakeUpstream::fault(const nlohmann::json &switches)
{
    const base::SteadyTime now = base::steadyNow();
    absl::MutexLock lock(&this->mutex);
    this->table.failAll = switches.value("fail_all", this->table.failAll);
    if (const bool leaving = switches.value("leaving", this->table.leaving); leaving != this->table.leaving) {
        this->table.leaving = leaving;
        this->announceSoon(now);
    }
    if (switches.contains("silent")) {
        this->silencedConnection = switches["silent"].get<bool>() ? this->server->lastConnection() : 0;
        this->table.silenceUpTo(this->silencedConnection);
    }
    if (switches.value("forget", false)) {
        this->table.removeEndedTasks();
    }
    if (switches.value("restart", false)) {
        this->table.restart(now);
        this->announceSoon(now);
    }
    if (const bool freeze = switches.value("freeze", this->frozen); freeze != this->frozen) {
        this->frozen = freeze;
        this->processHeldRequests();
    }
    this->changed.SignalAll();
    return {200, "application/json", "{}", false};
}

void FakeUpstream::processHeldRequests()
{
    if (this->frozen) {
        return;
    }
    const std::vector<PendingRequest> waiting = std::move(this->heldWhileFrozen);
    this->heldWhileFrozen.clear();
    for (const PendingRequest &one : waiting) {
        this->process(one);
    }
}

void FakeUpstream::run()
{
    while (true) {
        std::optional<http::ClientRequest> announcement;
        {
            absl::MutexLock lock(&this->mutex);
            if (this->stopping) {
                return;
            }
            announcement = this->advance(base::steadyNow());
            if (!announcement) {
                this->changed.WaitWithTimeout(&this->mutex, absl::FromChrono(this->nextWake(base::steadyNow()) - base::steadyNow()));
            }
        }
        if (announcement) {
            this->client.call(*std::move(announcement), [this](const http::ClientResponse &response) { this->handleAnnouncementResponse(response); });
        }
    }
}

std::optional<http::ClientRequest> FakeUpstream::advance(base::SteadyTime now)
{
    if (this->frozen) {
        return std::nullopt;
    }
    if (this->table.advance(now)) {
        this->announceSoon(now);
    }
    return this->dueAnnouncement(now);
}

base::SteadyTime FakeUpstream::nextWake(base::SteadyTime now)
{
    base::SteadyTime wake = now + MaxSleep;
    if (this->frozen) {
        return wake;
    }
    if (const auto due = this->table.nextDue()) {
        wake = std::min(wake, *due);
    }
    return this->announcing || this->options.entries.empty() ? wake : std::min(wake, this->announceAt);
}

void FakeUpstream::announceSoon(base::SteadyTime now)
{
    this->announceAt = std::min(this->announceAt, std::max(now, this->lastAnnounced + AnnounceSpacing));
}

std::optional<http::ClientRequest> FakeUpstream::dueAnnouncement(base::SteadyTime now)
{
    if (this->options.entries.empty() || this->announcing || now < this->announceAt) {
        return std::nullopt;
    }
    this->announcing = true;
    this->lastAnnounced = now;
    this->announceAt = now + this->options.announceEvery;
    model::UpstreamReport report = this->table.report(now);
    report.address = this->options.advertise.empty() ? this->address() : this->options.advertise;
    http::ClientRequest request;
    request.method = "POST";
    request.host = this->options.entries[this->entry % this->options.entries.size()];
    request.target = "/v1/upstreams";
    request.bearerKey = this->options.upstreamKey;
    request.body = http::jsonText(upstream::upstreamReportToJson(report));
    request.limit = AnnounceLimit;
    return request;
}

void FakeUpstream::handleAnnouncementResponse(const http::ClientResponse &response)
{
    absl::MutexLock lock(&this->mutex);
    this->announcing = false;
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.outcome == http::CallOutcome::Answered && response.status == 200 && body.is_object()) {
        const base::SteadyTime requested = this->lastAnnounced + milliseconds(body.value("next_in_ms", std::int64_t{1000}));
        const bool noEarlierAnnouncement = this->announceAt == this->lastAnnounced + this->options.announceEvery;
        this->announceAt = noEarlierAnnouncement ? requested : std::min(this->announceAt, requested);
    } else {
        ++this->entry;
        this->announceAt = base::steadyNow() + AnnounceRetry;
    }
    this->changed.SignalAll();
}

} // namespace cranberryreel::testsupport
