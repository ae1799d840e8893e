#include "soak/SoakUpstream.h"

#include "http/ServerBuilder.h"
#include "support/Eventually.h"

#include "cranberryreel/base/Error.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusOtherIncarnation = 421;
constexpr std::chrono::milliseconds TimerInterval{10};
constexpr std::chrono::milliseconds AnnounceInterval{500};
constexpr const char *LinkName = "upstream";
constexpr const char *ExpectInstance = "Expect-Instance";

http::ServerOptions serverOptions()
{
    http::ServerOptions options;
    options.threads = 1;
    options.forwardedHeaders = {ExpectInstance};
    return options;
}

} // namespace

SoakUpstream::SoakUpstream(
    std::string upstreamId, double rate, std::uint64_t seed, SoakReport &soakReport, TaskRuns &taskRuns, GangWork &gangWork, Announce announceFunction)
    : name(std::move(upstreamId))
    , clockRate(rate)
    , report(soakReport)
    , runs(taskRuns)
    , work(gangWork)
    , announce(std::move(announceFunction))
    , server(http::ServerBuilder()
                 .options(serverOptions())
                 .handler([this](const std::shared_ptr<const http::Request> &request, const http::Responder &respond) { this->handle(*request, respond); })
                 .build())
    , relay(std::make_unique<support::LinkRelay>())
    , current(std::make_unique<SoakIncarnation>(this->name, 1, rate, taskRuns, gangWork))
    , random(seed)
    , lateCalls(seed)
{
    this->server->start();
    this->port = this->relay->add(LinkName, "127.0.0.1:" + std::to_string(this->server->port()));
    this->timer = std::thread([this] { this->keepTime(); });
    this->announcer = std::thread([this] { this->announceAll(); });
}

SoakUpstream::~SoakUpstream()
{
    this->stopped = true;
    this->crash();
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
    return this->current->runCount();
}

void SoakUpstream::drain()
{
    this->isDraining = true;
}

bool SoakUpstream::draining() const
{
    return this->isDraining;
}

void SoakUpstream::crash()
{
    const absl::MutexLock lock(&this->mutex);
    this->relay.reset();
    this->isDown = true;
    this->isSilent = true;
    this->cutWanted = false;
    this->current->endAllRuns("lapsed", std::chrono::steady_clock::now());
    this->dropRenewals();
}

void SoakUpstream::restart()
{
    auto next = std::make_unique<support::LinkRelay>();
    const std::string target = "127.0.0.1:" + std::to_string(this->server->port());
    // Another socket may use the port for a moment.
    support::eventually([this, &next, &target] {
        try {
            return next->add(LinkName, target, this->port) == this->port;
        } catch (const base::Error &) {
            return false;
        }
    });
    const absl::MutexLock lock(&this->mutex);
    this->relay = std::move(next);
    this->current = std::make_unique<SoakIncarnation>(this->name, this->current->number() + 1, this->clockRate, this->runs, this->work);
    this->firstAnnouncement = std::chrono::steady_clock::now() + std::chrono::milliseconds(this->random() % AnnounceInterval.count());
    this->isDown = false;
    this->isSilent = false;
}

void SoakUpstream::cutOff()
{
    const absl::MutexLock lock(&this->mutex);
    this->cutWanted = true;
}

void SoakUpstream::rejoin()
{
    const absl::MutexLock lock(&this->mutex);
    this->cutWanted = false;
    if (this->isSilent && !this->isDown) {
        // What was sent during the cut is lost.
        this->relay->blackholeOpen(LinkName);
        this->relay->heal(LinkName);
        this->isSilent = false;
    }
}

SoakUpstream::SteadyTime SoakUpstream::lastCut() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->cutAt;
}

void SoakUpstream::setDelays(bool enabled)
{
    const absl::MutexLock lock(&this->mutex);
    this->delaysEnabled = enabled;
}

void SoakUpstream::handle(const http::Request &request, const http::Responder &respond)
{
    const absl::MutexLock lock(&this->mutex);
    const UpstreamCall call{request.path, nlohmann::json::parse(request.body, nullptr, false), this->current->number()};
    if (this->isDown) {
        this->unanswered.push_back(respond);
        return;
    }
    if (const std::string expected = request.header(ExpectInstance); !expected.empty() && expected != this->name) {
        respond(this->current->answer(StatusOtherIncarnation));
        return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    if (this->delaysEnabled && this->lateCalls.keep(call, now)) {
        this->unanswered.push_back(respond);
        return;
    }
    const http::Response response = this->current->carryOut(call);
    if (this->isSilent) {
        this->unanswered.push_back(respond);
    } else if (call.path == "/api/hold" && response.status == StatusOk) {
        this->renewals.push_back({respond, now + std::chrono::milliseconds(call.body.value("WaitMs", 0))});
    } else {
        respond(response);
    }
}

void SoakUpstream::keepTime()
{
    while (!this->stopped) {
        std::this_thread::sleep_for(TimerInterval);
        const absl::MutexLock lock(&this->mutex);
        if (this->isDown) {
            continue;
        }
        this->current->endRuns();
        for (const UpstreamCall &call : this->lateCalls.takeDue(std::chrono::steady_clock::now(), this->current->number(), this->current->isKnown())) {
            this->current->carryOut(call);
        }
        this->answerRenewals();
        if (this->cutWanted && !this->isSilent && this->current->isKnown()) {
            this->beginCut();
        }
    }
}

void SoakUpstream::answerRenewals()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto due =
        std::stable_partition(this->renewals.begin(), this->renewals.end(), [this, now](const Renewal &renewal) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
            return !this->current->hasEnds() && now < renewal.until;
        });
    std::for_each(
        due, this->renewals.end(), [this](const Renewal &renewal) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) { renewal.respond(this->current->lists()); });
    this->renewals.erase(due, this->renewals.end());
}

void SoakUpstream::beginCut()
{
    this->relay->cut(LinkName);
    this->isSilent = true;
    this->cutAt = std::chrono::steady_clock::now();
    this->dropRenewals();
    this->report.note("cut off " + this->name);
}

void SoakUpstream::dropRenewals()
{
    for (Renewal &renewal : this->renewals) {
        this->unanswered.push_back(std::move(renewal.respond));
    }
    this->renewals.clear();
}

void SoakUpstream::announceAll()
{
    while (!this->stopped) {
        const bool announcedDraining = this->isDraining;
        const bool acknowledged = this->mayAnnounce() && this->announce(this->name, this->announcement());
        const auto next = std::chrono::steady_clock::now() + (acknowledged ? AnnounceInterval : TimerInterval);
        while (!this->stopped && this->isDraining == announcedDraining && std::chrono::steady_clock::now() < next) {
            std::this_thread::sleep_for(TimerInterval);
        }
    }
}

bool SoakUpstream::mayAnnounce() const
{
    const absl::MutexLock lock(&this->mutex);
    return !this->isSilent && std::chrono::steady_clock::now() >= this->firstAnnouncement;
}

std::string SoakUpstream::announcement()
{
    const absl::MutexLock lock(&this->mutex);
    nlohmann::json body = {{"Service", "l"},
                           {"Address", "127.0.0.1:" + std::to_string(this->port)},
                           {"Zone", "z"},
                           {"Version", "v1"},
                           {"Slots", 8},
                           {"State", this->isDraining ? "draining" : "ready"},
                           {"ColdRemainingMs", 0},
                           {"Capacity", {{"Cpu", 16000}, {"MemRequestMb", 32768}, {"Gpu", 0}}},
                           {"Labels", {"a", "r1"}},
                           {"ClockMs", this->current->clock().count()},
                           {"Sequence", this->current->nextSequence()},
                           {"born", this->current->born()}};
    if (this->isDraining) {
        body["RemainingMs"] = 0;
    }
    return body.dump();
}

} // namespace cranberryreel::soak
