#include "Runner.h"

#include "AdviceService.h"
#include "HttpClient.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cranberryreel::review
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds HeartbeatInterval{1500};
constexpr milliseconds HeartbeatLimit{1000};
constexpr milliseconds TickInterval{10};
constexpr std::int64_t HoldMaxMs = 6000;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;
constexpr int Percent = 100;

std::int64_t unixTimeMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The number behind `name=` in the text, or `otherwise`.
std::int64_t numberIn(const std::string &text, const std::string &name, std::int64_t otherwise)
{
    const std::size_t at = text.find(name + "=");
    return at == std::string::npos ? otherwise : std::strtoll(text.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

Runner::Runner(RunnerSpec runnerSpec, TaskLog &caseTasks, Record &caseRecord)
    : spec(std::move(runnerSpec))
    , tasks(caseTasks)
    , record(caseRecord)
    , server(spec.address, [this](const HttpMessage &request) { return this->handle(request); })
{
}

Runner::~Runner()
{
    this->crash();
}

void Runner::setControls(std::vector<std::string> addresses)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->controls = std::move(addresses);
}

void Runner::setCapacity(std::int64_t cpuMillis)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->spec.cpuMillis = cpuMillis;
}

void Runner::start()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->life = std::make_unique<Life>();
        this->life->name = this->spec.id + "/life" + std::to_string(++this->lives);
        this->life->begin = std::chrono::steady_clock::now();
        this->life->born = unixTimeMs() + this->timeOfDayOffset.count();
        this->record.write("runner " + this->life->name + ": begins at " + this->spec.address + " with cpu " + std::to_string(this->spec.cpuMillis) + ", born "
                           + std::to_string(this->life->born));
    }
    this->server.start();
    this->alive = true;
    this->ticker = std::thread([this] { this->tick(); });
    this->beater = std::thread([this] { this->beat(); });
}

void Runner::crash()
{
    this->endLife(false);
}

void Runner::losePower()
{
    this->endLife(true);
}

void Runner::endLife(bool silently)
{
    if (!this->alive.exchange(false)) {
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->record.write("runner " + this->life->name + " " + (silently ? "loses power" : "is gone"));
        for (const auto &[task, run] : this->life->runs) {
            this->tasks.ended(task, run.attempt, this->life->name, "lost with its runner");
        }
        this->life.reset();
        this->changed.notify_all();
    }
    if (silently) {
        this->server.goDark();
    } else {
        this->server.stop();
    }
    this->ticker.join();
    this->beater.join();
}

void Runner::setTimeOfDayOffset(milliseconds ahead)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->timeOfDayOffset = ahead;
}

bool Runner::drain()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->life->draining = true;
    }
    return this->announce();
}

int Runner::deregister(const std::string &control, milliseconds limit)
{
    const int status = send({control, "POST", "/api/instances/" + this->spec.id + "/deregister", "{}", "", limit}).status;
    this->record.write("runner " + this->spec.id + ": deregister at " + control + " -> " + std::to_string(status));
    return status;
}

int Runner::starts() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->startCount;
}

int Runner::startsOverCapacity() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->overCapacityCount;
}

std::vector<std::string> Runner::runningTasks() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> names;
    if (this->life) {
        for (const auto &[task, run] : this->life->runs) {
            names.push_back(task);
        }
    }
    return names;
}

std::vector<Runner::Lapse> Runner::lapses() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->lapsed;
}

std::int64_t Runner::clock() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - this->life->begin).count();
}

HttpReply Runner::handle(const HttpMessage &request)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->life) {
        return {503, "{}"};
    }
    if (request.startLine.rfind("GET ", 0) == 0) {
        return {200, "{}"};
    }
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != this->spec.id) {
        return this->answer(421, json::object());
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return this->answer(400, json::object());
    }
    if (this->isFenced(body)) {
        return this->refusal("fence");
    }
    if (request.startLine.rfind("POST /api/run-start ", 0) == 0) {
        return this->handleStart(body);
    }
    if (request.startLine.rfind("POST /api/run-stop ", 0) == 0) {
        return this->handleStop(body);
    }
    if (request.startLine.rfind("POST /api/hold ", 0) == 0) {
        return this->handleHold(body, lock);
    }
    return this->answer(200, json::object());
}

bool Runner::isFenced(const json &body)
{
    const std::uint64_t fence = body.value("FencingToken", std::uint64_t{0});
    if (fence < this->life->highestFence) {
        return true;
    }
    this->life->highestFence = fence;
    return false;
}

void Runner::extendLease(const json &body)
{
    if (body.contains("DeadlineMs")) {
        const std::int64_t asked = std::min(body["DeadlineMs"].get<std::int64_t>(), this->clock() + HoldMaxMs);
        this->life->deadline = std::max(this->life->deadline, asked);
    }
}

HttpReply Runner::handleStart(const json &body)
{
    const auto task = body.at("Task").get<std::string>();
    const auto attempt = body.at("Attempt").get<std::uint32_t>();
    const auto payload = body.value("Spec", std::string());
    if (body.at("DeadlineMs").get<std::int64_t>() <= this->clock()) {
        return this->refusal("late");
    }
    this->extendLease(body);
    if (const auto running = this->life->runs.find(task); running != this->life->runs.end() && running->second.attempt == attempt) {
        return this->answer(200, json::object());
    }
    if (const auto running = this->life->runs.find(task); running != this->life->runs.end() && attempt < running->second.attempt) {
        return this->refusal("old");
    }
    if (const auto closed = this->life->closed.find(task); closed != this->life->closed.end() && attempt <= closed->second) {
        return this->refusal("old");
    }
    const std::string step = task.substr(0, task.rfind('.'));
    if (payload.find("advised") != std::string::npos && body.value("Ticket", std::string()) != AdviceService::ticketFor(step, this->spec.id)) {
        return this->refusal("ticket");
    }
    Run run;
    run.attempt = attempt;
    run.startedAt = this->clock();
    run.workMs = payload.find("lasts") != std::string::npos ? -1 : numberIn(payload, "work", 1000);
    run.cpuMillis = numberIn(payload, "cpu", 100);
    std::int64_t inUse = run.cpuMillis;
    for (const auto &[name, other] : this->life->runs) {
        inUse += other.cpuMillis;
    }
    ++this->startCount;
    if (inUse > this->spec.cpuMillis) {
        ++this->overCapacityCount;
        this->record.write("runner " + this->life->name + ": this start brings it to cpu " + std::to_string(inUse) + " of "
                           + std::to_string(this->spec.cpuMillis));
    }
    this->life->runs[task] = run;
    this->tasks.started(task, attempt, this->life->name);
    return this->answer(200, json::object());
}

HttpReply Runner::handleStop(const json &body)
{
    const auto task = body.at("Task").get<std::string>();
    const auto attempt = body.at("Attempt").get<std::uint32_t>();
    this->record.write("runner " + this->life->name + ": told to stop " + task + " attempt " + std::to_string(attempt));
    this->life->closed[task] = std::max(this->life->closed[task], attempt);
    if (const auto running = this->life->runs.find(task); running != this->life->runs.end() && running->second.attempt == attempt) {
        this->endRun(task, "stopped");
    }
    return this->answer(200, json::object());
}

HttpReply Runner::handleHold(const json &body, std::unique_lock<std::mutex> &lock)
{
    const std::string name = this->life->name;
    this->extendLease(body);
    this->acknowledge(body.value("AckCursor", std::uint64_t{0}));
    const std::int64_t wait = std::min(body.value("WaitMs", std::int64_t{0}), MaxWaitMs);
    const std::uint64_t before = this->life->lastEnd;
    if (this->life->ends.empty()) {
        this->changed.wait_for(lock, milliseconds(wait), [&] { return !this->life || this->life->name != name || this->life->lastEnd > before; });
    }
    if (!this->life || this->life->name != name) {
        return {503, "{}"}; // The connection is reset before this is sent.
    }
    json running = json::array();
    for (const auto &[task, run] : this->life->runs) {
        const std::int64_t percent = run.workMs <= 0 ? Percent : std::min<std::int64_t>((this->clock() - run.startedAt) * Percent / run.workMs, Percent);
        running.push_back(json::array({task, run.attempt, "", percent, run.cpuMillis}));
    }
    json finished = json::array();
    for (std::size_t i = 0; i < this->life->ends.size() && i < MaxListedEnds; ++i) {
        const End &end = this->life->ends[i];
        finished.push_back(json::array({end.number, end.task, end.attempt, end.how, ""}));
    }
    return this->answer(200, {{"Running", running}, {"Finished", finished}, {"born", this->life->born}});
}

void Runner::acknowledge(std::uint64_t cursor)
{
    auto &ends = this->life->ends;
    while (!ends.empty() && ends.front().number <= cursor) {
        const End &end = ends.front();
        this->record.write("runner " + this->life->name + ": AckCursor " + std::to_string(cursor) + " reaches end " + std::to_string(end.number) + " of "
                           + end.task + ", " + end.how);
        // The rule excuses an end whose runner's lease lapsed before the cursor reached it.
        if (end.how == "done" && this->life->lastLapsedAt < end.endedAt && this->clock() <= this->life->deadline) {
            this->tasks.acknowledgedDone(end.task);
        }
        ends.erase(ends.begin());
    }
}

void Runner::endRun(const std::string &task, const std::string &how)
{
    const Run run = this->life->runs.at(task);
    this->life->runs.erase(task);
    this->life->closed[task] = std::max(this->life->closed[task], run.attempt);
    this->life->ends.push_back({++this->life->lastEnd, task, run.attempt, how, this->clock()});
    this->tasks.ended(task, run.attempt, this->life->name, how);
    this->changed.notify_all();
}

HttpReply Runner::answer(int status, json body) const
{
    body["ClockMs"] = this->clock();
    return {status, body.dump()};
}

HttpReply Runner::refusal(const char *reason) const
{
    this->record.write("runner " + this->life->name + ": refuses an order, " + reason);
    return this->answer(409, {{"Reason", reason}});
}

std::string Runner::announcement()
{
    const json body{{"Service", this->spec.service},
                    {"Address", this->spec.address},
                    {"Zone", this->spec.zone},
                    {"Version", "v1"},
                    {"Slots", 8},
                    {"State", this->life->draining ? "draining" : "ready"},
                    {"ColdRemainingMs", 0},
                    {"Capacity", {{"Cpu", this->spec.cpuMillis}, {"MemRequestMb", this->spec.memoryMib}, {"Gpu", 0}}},
                    {"Labels", this->spec.labels},
                    {"ClockMs", this->clock()},
                    {"Sequence", ++this->life->sequence},
                    {"born", this->life->born}};
    return body.dump();
}

bool Runner::announce()
{
    std::vector<std::string> order;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        order = this->controls;
    }
    for (const std::string &control : order) {
        std::string body;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (!this->life) {
                return false;
            }
            body = this->announcement();
        }
        const int status = send({control, "POST", "/api/instances/" + this->spec.id + "/heartbeat", body, "", HeartbeatLimit}).status;
        if (status / 100 == 2) {
            return true;
        }
        this->record.write("runner " + this->spec.id + ": heartbeat at " + control + " -> " + std::to_string(status));
    }
    return false;
}

void Runner::tick()
{
    while (this->alive) {
        std::this_thread::sleep_for(TickInterval);
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->life) {
            return;
        }
        const std::int64_t now = this->clock();
        if (now > this->life->deadline) {
            this->life->lastLapsedAt = now;
        }
        std::vector<std::pair<std::string, std::string>> ending;
        for (const auto &[task, run] : this->life->runs) {
            if (run.workMs >= 0 && now - run.startedAt >= run.workMs) {
                ending.emplace_back(task, "done");
            } else if (now > this->life->deadline) {
                ending.emplace_back(task, "lapsed");
                this->lapsed.push_back({task, std::chrono::steady_clock::now()});
            }
        }
        for (const auto &[task, how] : ending) {
            this->endRun(task, how);
        }
    }
}

void Runner::beat()
{
    while (this->alive) {
        this->announce();
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait_for(lock, HeartbeatInterval, [this] { return !this->alive; });
    }
}

} // namespace cranberryreel::review
