#include "Runner.h"

#include "HttpCall.h"

#include <microhttpd.h>

#include <algorithm>
#include <memory>
#include <stdexcept>
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
constexpr std::int64_t HoldMaxMs = 6000;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t EndsPerResponse = 500;
constexpr auto HeartbeatInterval = 1500ms;
constexpr auto TimerInterval = 5ms;
constexpr auto StopTime = 50ms;
constexpr int WholePercent = 100;

MHD_Result
onRequest(void *self, MHD_Connection *connection, const char *url, const char *, const char *, const char *upload, std::size_t *uploadSize, void **state)
{
    if (*state == nullptr) {
        *state = new std::string;
        return MHD_YES;
    }
    auto *body = static_cast<std::string *>(*state);
    if (*uploadSize != 0) {
        body->append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    const char *expected = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Expect-Instance");
    const auto [status, answer] = static_cast<Runner *>(self)->handle(url, expected == nullptr ? "" : expected, *body);
    MHD_Response *response = MHD_create_response_from_buffer(answer.size(), const_cast<char *>(answer.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<std::string *>(*state);
    *state = nullptr;
}

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
{
    const unsigned int flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
    this->server = MHD_start_daemon(flags, 0, nullptr, nullptr, &onRequest, this, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, nullptr, MHD_OPTION_END);
    if (this->server == nullptr) {
        throw std::runtime_error("a runner cannot listen");
    }
    this->address = fmt::format("127.0.0.1:{}", MHD_get_daemon_info(this->server, MHD_DAEMON_INFO_BIND_PORT)->port);
    this->timer = std::thread([this] { this->keepTime(); });
    this->announcer = std::thread([this] { this->announce(); });
}

Runner::~Runner()
{
    this->stopped = true;
    this->changed.notify_all();
    this->timer.join();
    this->announcer.join();
    MHD_stop_daemon(this->server);
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

std::pair<unsigned int, std::string> Runner::handle(const std::string &path, const std::string &expected, const std::string &body)
{
    std::unique_lock lock(this->mutex);
    std::pair<unsigned int, json> answer{StatusBadRequest, json{{"ClockMs", this->clockMs()}}};
    const json parsed = json::parse(body, nullptr, false);
    if (!expected.empty() && expected != this->own.id) {
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
        this->leaseEndMs = std::max(this->leaseEndMs, std::min(deadline, this->clockMs() + HoldMaxMs));
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
    this->changed.wait_for(lock, wait, [this] { return this->stopped || !this->ends.empty(); });
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

/// Sends heartbeats to one core machine as long as it acknowledges them, and to the next one after a failure.
void Runner::announce()
{
    std::size_t target = 0;
    for (int sequence = 1; !this->stopped; ++sequence) {
        const json body{{"Service", this->own.service},
                        {"Address", this->address},
                        {"Zone", this->own.zone},
                        {"Version", "v1"},
                        {"Slots", 8},
                        {"State", "ready"},
                        {"ColdRemainingMs", 0},
                        {"Capacity", {{"Cpu", this->own.cpuMillis}, {"MemRequestMb", this->own.memoryMb}, {"Gpu", 0}}},
                        {"Labels", {"a", this->own.rack}},
                        {"ClockMs", this->clockMs()},
                        {"Sequence", sequence},
                        {"born", this->bornMs}};
        const std::string &machine = this->cell.cores()[target % this->cell.cores().size()];
        const std::string url = "http://" + this->cell.control(machine) + "/api/instances/" + this->own.id + "/heartbeat";
        const bool acknowledged = HttpCall{"POST", url, body.dump(), {}, 1000ms}.send().status == StatusOk;
        target += acknowledged ? 0 : 1;
        const auto next = Steady::now() + (acknowledged ? HeartbeatInterval : 100ms);
        while (!this->stopped && Steady::now() < next) {
            std::this_thread::sleep_for(TimerInterval);
        }
    }
}

} // namespace cranberryreel::review
