#include "Runner.h"

#include "HttpCall.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cranberryreel::review
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusBadRequest = 400;
constexpr unsigned int StatusConflict = 409;
constexpr unsigned int StatusOtherInstance = 421;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t EndsPerResponse = 500;
constexpr auto HeartbeatInterval = 1500ms;
constexpr auto TimerInterval = 5ms;
constexpr auto StopTime = 50ms;
constexpr auto UnansweredTime = 2500ms; ///< Longer than any caller waits.
constexpr int WholePercent = 100;

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The work that the Spec names; -1 for a task that lasts.
std::int64_t workOf(const std::string &spec)
{
    const std::string word = "work ";
    return spec.rfind(word, 0) == 0 ? std::stoll(spec.substr(word.size())) : -1;
}

} // namespace

Runner::Runner(RunnerOptions runnerOptions, const Cell &runnerCell, Record &caseRecord)
    : own(std::move(runnerOptions))
    , cell(runnerCell)
    , record(caseRecord)
    , bornMs(unixMs())
    , announcing(this->own.announces)
    , server([this](const ServedRequest &request) { return this->handle(request); })
{
    this->timer = std::thread([this] { this->keepTime(); });
    this->announcer = std::thread([this] { this->sendHeartbeats(); });
}

Runner::~Runner()
{
    this->stopped = true;
    this->changed.notify_all();
    this->timer.join();
    this->announcer.join();
    this->server.stop();
}

void Runner::drain()
{
    this->draining = true;
}

void Runner::announce()
{
    this->announcing = true;
}

void Runner::keepNextRenewal()
{
    const std::lock_guard lock(this->mutex);
    this->keepsRenewal = true;
}

std::string Runner::keptRenewal() const
{
    const std::lock_guard lock(this->mutex);
    return this->kept;
}

void Runner::carryOutLate(const std::string &path, const std::string &body)
{
    this->record.note("runner {} carries out late: {} {}", this->own.id, path, body);
    json call = json::parse(body);
    call.erase("WaitMs"); // Nobody waits for the answer.
    this->handle({path, this->own.id, call.dump()});
}

void Runner::leave()
{
    this->announcing = false;
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> tasks;
        for (const auto &[task, run] : this->current) {
            tasks.push_back(task);
        }
        for (const std::string &task : tasks) {
            this->endRun(task, "terminated");
        }
    }
    for (std::size_t target = 0; target < this->cell.cores().size() && !this->postControl(target, "deregister", "{}"); ++target) { }
    this->stopped = true;
    this->changed.notify_all();
    this->server.stop();
    this->record.note("runner {} has left", this->own.id);
}

void Runner::cutOff()
{
    this->isCut = true;
    this->changed.notify_all();
    this->record.note("runner {} is cut off", this->own.id);
}

void Runner::rejoin()
{
    this->isCut = false;
    this->record.note("the cut of runner {} ends", this->own.id);
}

std::vector<TaskRun> Runner::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->history;
}

bool Runner::fail(const std::string &task)
{
    const std::lock_guard lock(this->mutex);
    const bool ran = this->current.count(task) > 0;
    if (ran) {
        this->endRun(task, "failed");
    }
    return ran;
}

std::int64_t Runner::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - this->startedAt).count();
}

json Runner::refusal(const char *reason) const
{
    return {{"ClockMs", this->clockMs()}, {"Reason", reason}};
}

ServedAnswer Runner::handle(const ServedRequest &request)
{
    std::unique_lock lock(this->mutex);
    std::pair<unsigned int, json> answer{StatusBadRequest, json{{"ClockMs", this->clockMs()}}};
    const json parsed = json::parse(request.body, nullptr, false);
    const std::string &path = request.path;
    const bool keeps = this->keepsRenewal && path == "/api/hold" && parsed.is_object() && parsed.contains("DeadlineMs");
    if (keeps) {
        this->keepsRenewal = false;
        this->kept = request.body;
        this->record.note("runner {} leaves a renewal unanswered: {}", this->own.id, request.body);
    }
    if (keeps || this->isCut) {
        this->changed.wait_for(lock, UnansweredTime, [this] { return this->stopped.load(); });
        return {0, {}};
    }
    if (!request.expectedInstance.empty() && request.expectedInstance != this->own.id) {
        answer.first = StatusOtherInstance;
    } else if (parsed.is_object() && path == "/api/run-start") {
        answer = this->startRun(parsed);
    } else if (parsed.is_object() && path == "/api/run-stop") {
        answer = this->stopRun(parsed);
    } else if (parsed.is_object() && path == "/api/hold") {
        answer = this->hold(parsed, lock);
    }
    return {answer.first, answer.second.dump()};
}

bool Runner::isFenced(const json &body)
{
    const auto token = body.value("FencingToken", std::uint64_t{0});
    const bool lower = token < this->fence;
    this->fence = std::max(this->fence, token);
    return lower;
}

void Runner::extendLease(const json &body)
{
    if (body.contains("DeadlineMs")) {
        const auto deadline = body["DeadlineMs"].get<std::int64_t>();
        this->leaseEndMs = std::max(this->leaseEndMs, std::min(deadline, this->clockMs() + this->own.holdMaxMs));
    }
}

std::pair<unsigned int, json> Runner::startRun(const json &body)
{
    const auto task = body.at("Task").get<std::string>();
    const int attempt = body.at("Attempt").get<int>();
    if (this->isFenced(body)) {
        return {StatusConflict, this->refusal("fence")};
    }
    if (body.at("DeadlineMs").get<std::int64_t>() <= this->clockMs()) {
        return {StatusConflict, this->refusal("late")};
    }
    this->extendLease(body);
    const auto known = this->current.find(task);
    if (known != this->current.end() && this->history[known->second.index].attempt == attempt) {
        return {StatusOk, json{{"ClockMs", this->clockMs()}}};
    }
    if (const auto closed = this->closedAttempts.find(task); closed != this->closedAttempts.end() && attempt <= closed->second) {
        return {StatusConflict, this->refusal("old")};
    }
    Run run;
    run.index = this->history.size();
    run.workMs = workOf(body.at("Spec").get<std::string>());
    this->history.push_back({this->own.id, task, attempt, Steady::now(), {}, {}});
    this->current[task] = run;
    this->record.note("runner {} begins {} attempt {} fence {}", this->own.id, task, attempt, this->fence);
    return {StatusOk, json{{"ClockMs", this->clockMs()}}};
}

std::pair<unsigned int, json> Runner::stopRun(const json &body)
{
    const auto task = body.at("Task").get<std::string>();
    const int attempt = body.at("Attempt").get<int>();
    if (this->isFenced(body)) {
        return {StatusConflict, this->refusal("fence")};
    }
    int &closed = this->closedAttempts[task];
    closed = std::max(closed, attempt);
    if (const auto found = this->current.find(task); found != this->current.end() && this->history[found->second.index].attempt <= attempt) {
        if (!std::exchange(found->second.stopping, true)) {
            found->second.stopAt = Steady::now() + StopTime;
        }
    }
    return {StatusOk, json{{"ClockMs", this->clockMs()}}};
}

std::pair<unsigned int, json> Runner::hold(const json &body, std::unique_lock<std::mutex> &lock)
{
    if (this->isFenced(body)) {
        return {StatusConflict, this->refusal("fence")};
    }
    const auto cursor = body.value("AckCursor", std::uint64_t{0});
    this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(), [cursor](const End &end) { return end.number <= cursor; }), this->ends.end());
    this->extendLease(body);
    const std::chrono::milliseconds wait(std::min(body.value("WaitMs", std::int64_t{0}), MaxWaitMs));
    this->changed.wait_for(lock, wait, [this] { return this->stopped || this->isCut || !this->ends.empty(); });
    if (this->isCut) {
        return {0, json()};
    }
    json lists{{"ClockMs", this->clockMs()}, {"born", this->bornMs}, {"Running", json::array()}, {"Finished", json::array()}};
    for (const auto &[task, run] : this->current) {
        const TaskRun &entry = this->history[run.index];
        const std::chrono::duration<double, std::milli> worked = Steady::now() - entry.begunAt;
        const int percent =
            run.workMs <= 0 ? WholePercent : std::min(WholePercent - 1, static_cast<int>(WholePercent * worked.count() / static_cast<double>(run.workMs)));
        lists["Running"].push_back({task, entry.attempt, "", percent, 0});
    }
    for (std::size_t i = 0; i < std::min(this->ends.size(), EndsPerResponse); ++i) {
        const End &end = this->ends[i];
        lists["Finished"].push_back({end.number, end.task, end.attempt, end.how, ""});
    }
    return {StatusOk, lists};
}

void Runner::endRun(const std::string &task, const std::string &how)
{
    TaskRun &entry = this->history[this->current.at(task).index];
    entry.endedAt = Steady::now();
    entry.how = how;
    this->ends.push_back({++this->lastEnd, task, entry.attempt, how});
    int &closed = this->closedAttempts[task];
    closed = std::max(closed, entry.attempt);
    this->current.erase(task);
    this->record.note("runner {} ends {} attempt {}: {}", this->own.id, task, entry.attempt, how);
    this->changed.notify_all();
}

void Runner::keepTime()
{
    while (!this->stopped) {
        std::this_thread::sleep_for(TimerInterval);
        const std::lock_guard lock(this->mutex);
        const auto now = Steady::now();
        const bool lapsed = this->clockMs() > this->leaseEndMs;
        std::map<std::string, std::string> ending;
        for (const auto &[task, run] : this->current) {
            const bool worked = run.workMs >= 0 && now - this->history[run.index].begunAt >= std::chrono::milliseconds(run.workMs);
            if (lapsed) {
                ending[task] = "lapsed";
            } else if (run.stopping && now >= run.stopAt) {
                ending[task] = "stopped";
            } else if (worked) {
                ending[task] = "done";
            }
        }
        for (const auto &[task, how] : ending) {
            this->endRun(task, how);
        }
    }
}

bool Runner::postControl(std::size_t target, const std::string &action, const std::string &body) const
{
    const std::string &machine = this->cell.cores()[target % this->cell.cores().size()];
    const std::string url = "http://" + this->cell.control(machine) + "/api/instances/" + this->own.id + "/" + action;
    return HttpCall{"POST", url, body, {}, 1000ms}.send().status == StatusOk;
}

/// Sends heartbeats to one core machine as long as it acknowledges them, and to the next one after a failure.
void Runner::sendHeartbeats()
{
    std::size_t target = 0;
    int sequence = 0;
    while (!this->stopped) {
        if (!this->announcing || this->isCut) {
            std::this_thread::sleep_for(TimerInterval);
            continue;
        }
        const bool leaves = this->draining;
        json body{{"Service", this->own.service},
                  {"Address", this->server.address()},
                  {"Zone", this->own.zone},
                  {"Version", "v1"},
                  {"Slots", 8},
                  {"State", leaves ? "draining" : "ready"},
                  {"ColdRemainingMs", 0},
                  {"Capacity", {{"Cpu", this->own.cpuMillis}, {"MemRequestMb", this->own.memoryMb}, {"Gpu", 0}}},
                  {"Labels", {"a", this->own.rack}},
                  {"ClockMs", this->clockMs()},
                  {"Sequence", ++sequence},
                  {"born", this->bornMs}};
        if (leaves) {
            body["RemainingMs"] = 0;
        }
        const bool acknowledged = this->postControl(target, "heartbeat", body.dump());
        target += acknowledged ? 0 : 1;
        const auto next = Steady::now() + (acknowledged ? HeartbeatInterval : 100ms);
        while (!this->stopped && this->draining == leaves && Steady::now() < next) {
            std::this_thread::sleep_for(TimerInterval);
        }
    }
}

} // namespace cranberryreel::review
