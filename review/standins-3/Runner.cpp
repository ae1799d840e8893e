#include "Runner.h"

#include "http/ServerBuilder.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review
{

namespace
{

using cranberryreel::http::ClientRequest;
using cranberryreel::http::ClientResponse;
using cranberryreel::http::Request;
using cranberryreel::http::Responder;
using cranberryreel::http::Response;

constexpr std::int64_t HoldMaxMs = 6000;
constexpr std::size_t EndsPerResponse = 500;
constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::milliseconds HeartbeatInterval{1500};
constexpr std::chrono::milliseconds HeartbeatRetryInterval{500};
constexpr std::chrono::milliseconds HeartbeatLimit{1000};
constexpr std::chrono::milliseconds MaxWait{2000};
constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusNotFound = 404;
constexpr unsigned int StatusConflict = 409;
constexpr unsigned int StatusOtherInstance = 421;

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Response jsonResponse(unsigned int status, const nlohmann::json &body)
{
    Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

} // namespace

Runner::Runner(Record &caseRecord, cranberryreel::http::Client &httpClient, RunnerOptions runnerOptions)
    : record(caseRecord)
    , client(httpClient)
    , options(std::move(runnerOptions))
    , born(unixMs())
    , start(std::chrono::steady_clock::now())
{
    cranberryreel::http::ServerOptions serverOptions;
    serverOptions.address = this->options.address;
    serverOptions.threads = 1;
    serverOptions.forwardedHeaders = {"Expect-Instance"};
    this->server = cranberryreel::http::ServerBuilder()
                       .options(serverOptions)
                       .handler([this](const std::shared_ptr<const Request> &request, const Responder &respond) { this->handle(request, respond); })
                       .build();
    this->server->start();
    this->port = this->server->port();
    this->thread = std::thread([this] { this->run(); });
}

Runner::~Runner()
{
    this->stopping = true;
    this->thread.join();
    // The answer to the last heartbeat refers to this object.
    const auto isAnswered = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return !this->beatPending; };
    {
        const absl::MutexLock lock(&this->mutex);
        this->mutex.Await(absl::Condition(&isAnswered));
    }
    if (this->server) {
        this->server->stop(std::chrono::milliseconds(0));
    }
}

void Runner::crash()
{
    this->beating = false;
    {
        const absl::MutexLock lock(&this->mutex);
        this->record.line(fmt::format("runner {}: crashes with {} runs", this->options.id, this->runs.size()));
        while (!this->runs.empty()) {
            this->endRun(std::string(this->runs.begin()->first), "lost");
        }
    }
    this->server->stop(std::chrono::milliseconds(0));
}

bool Runner::fail(const std::string &task)
{
    const absl::MutexLock lock(&this->mutex);
    const bool found = this->runs.count(task) > 0;
    if (found) {
        this->endRun(task, "failed");
    }
    return found;
}

void Runner::drain()
{
    const absl::MutexLock lock(&this->mutex);
    this->record.line(fmt::format("runner {}: begins to drain", this->options.id));
    this->isDraining = true;
    this->nextBeat = std::chrono::steady_clock::now();
}

std::string Runner::address() const
{
    return fmt::format("{}:{}", this->options.address, this->port);
}

std::int64_t Runner::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->start).count();
}

std::uint64_t Runner::sequence()
{
    const absl::MutexLock lock(&this->mutex);
    return this->sent;
}

std::optional<std::chrono::milliseconds> Runner::drainAcknowledged()
{
    const absl::MutexLock lock(&this->mutex);
    return this->acknowledgedDrain;
}

std::size_t Runner::running()
{
    const absl::MutexLock lock(&this->mutex);
    return this->runs.size();
}

std::vector<SeenRun> Runner::seenRuns()
{
    const absl::MutexLock lock(&this->mutex);
    return this->seen;
}

nlohmann::json Runner::heartbeat(std::uint64_t sequence, bool draining)
{
    const absl::MutexLock lock(&this->mutex);
    return this->heartbeatLocked(sequence, draining);
}

nlohmann::json Runner::heartbeatLocked(std::uint64_t sequence, bool draining)
{
    nlohmann::json body{{"Service", this->options.service},
                        {"Address", this->address()},
                        {"Zone", this->options.zone},
                        {"Version", "v1"},
                        {"Slots", 8},
                        {"State", draining ? "draining" : "ready"},
                        {"ColdRemainingMs", 0},
                        {"Capacity", {{"Cpu", this->options.cpu}, {"MemRequestMb", this->options.memory}, {"Gpu", 0}}},
                        {"Labels", this->options.labels},
                        {"ClockMs", this->clock()},
                        {"Sequence", sequence},
                        {"born", this->born}};
    if (draining) {
        body["RemainingMs"] = 20000;
    }
    return body;
}

void Runner::handle(const std::shared_ptr<const Request> &request, const Responder &respond)
{
    const nlohmann::json body = nlohmann::json::parse(request->body, nullptr, false);
    const absl::MutexLock lock(&this->mutex);
    if (request->method != "POST" || !body.is_object()) {
        respond(jsonResponse(request->path == "/health" ? StatusOk : StatusNotFound, {{"ClockMs", this->clock()}}));
        return;
    }
    if (const std::string instance = request->header("Expect-Instance"); !instance.empty() && instance != this->options.id) {
        respond(jsonResponse(StatusOtherInstance, {{"ClockMs", this->clock()}}));
        return;
    }
    const auto given = body.value("FencingToken", std::uint64_t{0});
    if (given < this->token) {
        respond(jsonResponse(StatusConflict, {{"ClockMs", this->clock()}, {"Reason", "fence"}}));
        return;
    }
    this->token = given;
    unsigned int status = StatusOk;
    if (request->path == "/api/run-start") {
        const nlohmann::json answer = this->handleStart(body, status);
        respond(jsonResponse(status, answer));
    } else if (request->path == "/api/run-stop") {
        const std::string task = body.value("Task", "");
        const auto attempt = body.value("Attempt", std::uint32_t{0});
        if (const auto found = this->runs.find(task); found != this->runs.end() && found->second.attempt == attempt) {
            this->endRun(task, "stopped");
        }
        std::uint32_t &closed = this->closedAttempts[task];
        closed = std::max(closed, attempt);
        respond(jsonResponse(StatusOk, {{"ClockMs", this->clock()}}));
    } else if (request->path == "/api/hold") {
        const auto cursor = body.value("AckCursor", std::uint64_t{0});
        this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(), [cursor](const End &end) { return end.number <= cursor; }), this->ends.end());
        this->extendLease(body);
        const std::chrono::milliseconds wait = std::min(std::chrono::milliseconds(body.value("WaitMs", 0)), MaxWait);
        if (wait.count() > 0 && this->ends.empty()) {
            this->waiting.push_back({respond, std::chrono::steady_clock::now() + wait, this->ends.size()});
        } else {
            respond(jsonResponse(StatusOk, this->lists()));
        }
    } else if (request->path == "/api/pace") {
        respond(jsonResponse(StatusOk, {{"ClockMs", this->clock()}}));
    } else {
        respond(jsonResponse(StatusNotFound, {{"ClockMs", this->clock()}}));
    }
}

nlohmann::json Runner::handleStart(const nlohmann::json &body, unsigned int &status)
{
    const std::string task = body.value("Task", "");
    const auto attempt = body.value("Attempt", std::uint32_t{0});
    const auto found = this->runs.find(task);
    const auto refuse = [this, &status](const char *reason) {
        status = StatusConflict;
        return nlohmann::json{{"ClockMs", this->clock()}, {"Reason", reason}};
    };
    if (found != this->runs.end() && found->second.attempt == attempt) {
        return {{"ClockMs", this->clock()}};
    }
    if (body.value("DeadlineMs", std::int64_t{0}) <= this->clock()) {
        return refuse("late");
    }
    this->extendLease(body);
    const auto closed = this->closedAttempts.find(task);
    if (found != this->runs.end() || (closed != this->closedAttempts.end() && attempt <= closed->second)) {
        return refuse("old");
    }
    const std::string spec = body.value("Spec", "");
    const auto now = std::chrono::steady_clock::now();
    constexpr std::chrono::hours Forever{24};
    Run run;
    run.attempt = attempt;
    run.fails = spec.rfind("fail", 0) == 0;
    const std::string time = run.fails ? spec.substr(std::string("fail").size()) : spec;
    run.until = spec == "forever" ? now + Forever : now + std::chrono::milliseconds(std::strtol(time.c_str(), nullptr, 10));
    run.seen = this->seen.size();
    this->seen.push_back({task, attempt, this->options.id, this->record.elapsed(), std::chrono::milliseconds(-1), ""});
    this->runs[task] = run;
    this->record.line(fmt::format("runner {}: starts {} attempt {} token {}", this->options.id, task, attempt, this->token));
    return {{"ClockMs", this->clock()}};
}

void Runner::endRun(const std::string &task, const std::string &how)
{
    const auto found = this->runs.find(task);
    const Run run = found->second;
    this->runs.erase(found);
    std::uint32_t &closed = this->closedAttempts[task];
    closed = std::max(closed, run.attempt);
    this->ends.push_back({this->nextEnd++, task, run.attempt, how});
    this->seen[run.seen].ended = this->record.elapsed();
    this->seen[run.seen].how = how;
    this->record.line(fmt::format("runner {}: {} attempt {} ends {}", this->options.id, task, run.attempt, how));
}

void Runner::extendLease(const nlohmann::json &body)
{
    if (const auto deadline = body.find("DeadlineMs"); deadline != body.end()) {
        this->lease = std::max(this->lease, std::min(deadline->get<std::int64_t>(), this->clock() + HoldMaxMs));
    }
}

nlohmann::json Runner::lists()
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[task, run] : this->runs) {
        running.push_back({task, run.attempt, "", 100, 0});
    }
    nlohmann::json finished = nlohmann::json::array();
    for (const End &end : this->ends) {
        if (finished.size() < EndsPerResponse) {
            finished.push_back({end.number, end.task, end.attempt, end.how, ""});
        }
    }
    return {{"ClockMs", this->clock()}, {"born", this->born}, {"Running", running}, {"Finished", finished}};
}

void Runner::tick()
{
    const absl::MutexLock lock(&this->mutex);
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> done;
    for (const auto &[task, run] : this->runs) {
        if (now >= run.until) {
            done.push_back(task);
        }
    }
    for (const std::string &task : done) {
        this->endRun(task, this->runs.at(task).fails ? "failed" : "done");
    }
    while (this->clock() > this->lease && !this->runs.empty()) {
        this->endRun(std::string(this->runs.begin()->first), "lapsed");
    }
    for (auto each = this->waiting.begin(); each != this->waiting.end();) {
        if (now >= each->until || this->ends.size() > each->ends) {
            each->respond(jsonResponse(StatusOk, this->lists()));
            each = this->waiting.erase(each);
        } else {
            ++each;
        }
    }
    if (this->beating && !this->beatPending && now >= this->nextBeat) {
        this->sendHeartbeat();
    }
}

void Runner::sendHeartbeat()
{
    this->beatPending = true;
    const bool draining = this->isDraining;
    const std::string target = this->options.control[this->nextControl % this->options.control.size()];
    ClientRequest request;
    request.method = "POST";
    request.host = target;
    request.target = "/api/instances/" + this->options.id + "/heartbeat";
    request.body = this->heartbeatLocked(++this->sent, draining).dump();
    request.limit = HeartbeatLimit;
    this->client.call(std::move(request), [this, draining, target, sequence = this->sent](const ClientResponse &response) {
        const absl::MutexLock lock(&this->mutex);
        this->beatPending = false;
        const bool acknowledged = response.status / 100 == 2;
        const auto now = std::chrono::steady_clock::now();
        this->nextBeat = now + (acknowledged ? HeartbeatInterval : HeartbeatRetryInterval);
        this->nextControl += acknowledged ? 0 : 1;
        if (draining && acknowledged && !this->acknowledgedDrain) {
            this->acknowledgedDrain = this->record.elapsed();
        }
        if (draining || !acknowledged) {
            this->record.line(
                fmt::format("runner {}: heartbeat {} ({}) to {} -> {}", this->options.id, sequence, draining ? "draining" : "ready", target, response.status));
        }
    });
}

void Runner::run()
{
    while (!this->stopping) {
        this->tick();
        std::this_thread::sleep_for(TickInterval);
    }
}

} // namespace review
