#include "soak/SoakUpstream.h"

#include "http/ServerBuilder.h"
#include "soak/SoakPlan.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusBadRequest = 400;
constexpr unsigned int StatusConflict = 409;
constexpr unsigned int StatusOtherIncarnation = 421;
constexpr std::size_t MaxEndsPerResponse = 500;
constexpr std::chrono::milliseconds TimerInterval{10};
constexpr std::chrono::milliseconds AnnounceInterval{500};
constexpr const char *LinkName = "upstream";
constexpr const char *ExpectInstance = "Expect-Instance";

std::int64_t unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

http::ServerOptions serverOptions()
{
    http::ServerOptions options;
    options.threads = 1;
    options.forwardedHeaders = {ExpectInstance};
    return options;
}

} // namespace

SoakUpstream::SoakUpstream(std::string upstreamId, double rate, LastingRuns &lastingRuns, Announce announceFunction)
    : name(std::move(upstreamId))
    , clockRate(rate)
    , runs(lastingRuns)
    , announce(std::move(announceFunction))
    , bornMs(unixNow())
    , server(http::ServerBuilder()
                 .options(serverOptions())
                 .handler([this](const std::shared_ptr<const http::Request> &request, const http::Responder &respond) { this->handle(*request, respond); })
                 .build())
    , relay(std::make_unique<support::LinkRelay>())
{
    this->server->start();
    const std::uint16_t port = this->relay->add(LinkName, "127.0.0.1:" + std::to_string(this->server->port()));
    this->address = "127.0.0.1:" + std::to_string(port);
    this->timer = std::thread([this] { this->keepTime(); });
    this->announcer = std::thread([this] { this->announceAll(); });
}

SoakUpstream::~SoakUpstream()
{
    this->vanish();
    this->timer.join();
    this->announcer.join();
    this->server->stop(0ms);
}

const std::string &SoakUpstream::id() const
{
    return this->name;
}

std::size_t SoakUpstream::runCount() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->running.size();
}

void SoakUpstream::drain()
{
    this->isDraining = true;
}

bool SoakUpstream::draining() const
{
    return this->isDraining;
}

void SoakUpstream::vanish()
{
    this->stopped = true;
    this->relay.reset();
    const absl::MutexLock lock(&this->mutex);
    this->endAllRuns("lapsed");
    this->holds.clear();
}

void SoakUpstream::handle(const http::Request &request, const http::Responder &respond)
{
    const nlohmann::json call = nlohmann::json::parse(request.body, nullptr, false);
    const absl::MutexLock lock(&this->mutex);
    if (this->stopped) {
        this->holds.push_back({respond, {}}); // Never answered.
        return;
    }
    if (const std::string expected = request.header(ExpectInstance); !expected.empty() && expected != this->name) {
        respond(this->answer(StatusOtherIncarnation));
    } else if (!call.is_object()) {
        respond(this->answer(StatusBadRequest));
    } else if (this->isFenced(call)) {
        respond(this->answer(StatusConflict, {{"Reason", "fence"}}));
    } else if (request.path == "/api/run-start") {
        respond(this->startRun(call));
    } else if (request.path == "/api/run-stop") {
        respond(this->stopRun(call));
    } else if (request.path == "/api/hold") {
        this->hold(call, respond);
    } else {
        respond(this->answer(request.path == "/api/pace" ? StatusOk : StatusBadRequest));
    }
}

http::Response SoakUpstream::startRun(const nlohmann::json &call)
{
    const std::string task = call.value("Task", "");
    const auto attempt = call.value("Attempt", std::uint32_t{0});
    if (std::chrono::milliseconds(call.value("DeadlineMs", std::int64_t{0})) <= this->clock()) {
        return this->answer(StatusConflict, {{"Reason", "late"}});
    }
    this->extendLease(call);
    if (const auto found = this->running.find(task); found != this->running.end() && found->second == attempt) {
        return this->answer(StatusOk);
    }
    std::uint32_t &known = this->highest[task];
    if (attempt <= known) {
        return this->answer(StatusConflict, {{"Reason", "old"}});
    }
    known = attempt;
    if (this->running.count(task) != 0) {
        this->endRun(task, "stopped");
    }
    this->running[task] = attempt;
    this->runs.recordStart(task);
    return this->answer(StatusOk);
}

http::Response SoakUpstream::stopRun(const nlohmann::json &call)
{
    const std::string task = call.value("Task", "");
    const auto attempt = call.value("Attempt", std::uint32_t{0});
    this->highest[task] = std::max(this->highest[task], attempt);
    if (const auto found = this->running.find(task); found != this->running.end() && found->second <= attempt) {
        this->endRun(task, "stopped");
    }
    return this->answer(StatusOk);
}

void SoakUpstream::hold(const nlohmann::json &call, const http::Responder &respond)
{
    this->extendLease(call);
    this->ends.erase(this->ends.begin(), this->ends.upper_bound(call.value("AckCursor", std::uint64_t{0})));
    this->holds.push_back({respond, std::chrono::steady_clock::now() + std::chrono::milliseconds(call.value("WaitMs", 0))});
}

bool SoakUpstream::isFenced(const nlohmann::json &call)
{
    const auto token = call.value("FencingToken", std::uint64_t{0});
    const bool lower = token < this->fencingToken;
    this->fencingToken = std::max(this->fencingToken, token);
    return lower;
}

void SoakUpstream::extendLease(const nlohmann::json &call)
{
    const std::chrono::milliseconds asked(call.value("DeadlineMs", std::int64_t{0}));
    this->leaseEnd = std::max(this->leaseEnd, std::min<std::chrono::milliseconds>(asked, this->clock() + PlatformLeaseMax));
}

void SoakUpstream::endRun(const std::string &task, const char *how)
{
    const auto found = this->running.find(task);
    ++this->lastEnd;
    this->ends[this->lastEnd] = {this->lastEnd, task, found->second, how, ""};
    this->running.erase(found);
    this->runs.recordEnd(task);
}

void SoakUpstream::endAllRuns(const char *how)
{
    while (!this->running.empty()) {
        this->endRun(std::string(this->running.begin()->first), how);
    }
}

http::Response SoakUpstream::lists()
{
    nlohmann::json body = {{"born", this->bornMs}, {"Running", nlohmann::json::array()}, {"Finished", nlohmann::json::array()}};
    for (const auto &[task, attempt] : this->running) {
        body["Running"].push_back({task, attempt, "", 100, 0});
    }
    for (const auto &[number, end] : this->ends) {
        if (body["Finished"].size() < MaxEndsPerResponse) {
            body["Finished"].push_back(end);
        }
    }
    return this->answer(StatusOk, std::move(body));
}

http::Response SoakUpstream::answer(unsigned int status, nlohmann::json body) const
{
    body["ClockMs"] = this->clock().count();
    http::Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

std::chrono::milliseconds SoakUpstream::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>((std::chrono::steady_clock::now() - this->startedAt) * this->clockRate);
}

void SoakUpstream::keepTime()
{
    while (!this->stopped) {
        std::this_thread::sleep_for(TimerInterval);
        const absl::MutexLock lock(&this->mutex);
        if (this->clock() >= this->leaseEnd) {
            this->endAllRuns("lapsed");
        }
        const auto now = std::chrono::steady_clock::now();
        const auto due =
            std::stable_partition(this->holds.begin(), this->holds.end(), [this, now](const Hold &hold) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                return this->ends.empty() && now < hold.until;
            });
        std::for_each(due, this->holds.end(), [this](const Hold &hold) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) { hold.respond(this->lists()); });
        this->holds.erase(due, this->holds.end());
    }
}

void SoakUpstream::announceAll()
{
    while (!this->stopped) {
        const bool announcedDraining = this->isDraining;
        const bool acknowledged = this->announce(this->name, this->announcement());
        const auto next = std::chrono::steady_clock::now() + (acknowledged ? AnnounceInterval : TimerInterval);
        while (!this->stopped && this->isDraining == announcedDraining && std::chrono::steady_clock::now() < next) {
            std::this_thread::sleep_for(TimerInterval);
        }
    }
}

std::string SoakUpstream::announcement()
{
    const absl::MutexLock lock(&this->mutex);
    nlohmann::json body = {{"Service", "l"},
                           {"Address", this->address},
                           {"Zone", "z"},
                           {"Version", "v1"},
                           {"Slots", 8},
                           {"State", this->isDraining ? "draining" : "ready"},
                           {"ColdRemainingMs", 0},
                           {"Capacity", {{"Cpu", 16000}, {"MemRequestMb", 32768}, {"Gpu", 0}}},
                           {"Labels", {"a", "r1"}},
                           {"ClockMs", this->clock().count()},
                           {"Sequence", ++this->sequence},
                           {"born", this->bornMs}};
    if (this->isDraining) {
        body["RemainingMs"] = 0;
    }
    return body.dump();
}

} // namespace cranberryreel::soak
