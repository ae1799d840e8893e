#include "soak/SoakIncarnation.h"

#include "soak/SoakPlan.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusBadRequest = 400;
constexpr unsigned int StatusConflict = 409;
constexpr std::size_t MaxEndsPerResponse = 500;
/// The cell may take up what it has read for this time.
constexpr std::chrono::milliseconds AnswerTime{200};

std::int64_t unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

SoakIncarnation::SoakIncarnation(std::string upstreamId, int incarnationNumber, double rate, TaskRuns &taskRuns, GangWork &gangWork)
    : incarnation(incarnationNumber)
    , place(fmt::format("{} incarnation {}", std::move(upstreamId), incarnationNumber))
    , clockRate(rate)
    , runs(taskRuns)
    , work(gangWork)
    , bornMs(unixNow())
{
}

int SoakIncarnation::number() const
{
    return this->incarnation;
}

std::int64_t SoakIncarnation::born() const
{
    return this->bornMs;
}

std::size_t SoakIncarnation::runCount() const
{
    return this->running.size();
}

bool SoakIncarnation::hasEnds() const
{
    return !this->ends.empty();
}

std::uint64_t SoakIncarnation::nextSequence()
{
    return ++this->sequence;
}

std::chrono::milliseconds SoakIncarnation::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>((std::chrono::steady_clock::now() - this->startedAt) * this->clockRate);
}

http::Response SoakIncarnation::carryOut(const UpstreamCall &call)
{
    static const std::map<std::string, Handler> handlers = {{"/api/run-start", &SoakIncarnation::startRun},
                                                            {"/api/run-stop", &SoakIncarnation::stopRun},
                                                            {"/api/hold", &SoakIncarnation::renew},
                                                            {"/api/pace", &SoakIncarnation::pace}};
    this->endRuns();
    const auto handler = handlers.find(call.path);
    if (handler == handlers.end() || !call.body.is_object()) {
        return this->answer(StatusBadRequest);
    }
    if (this->isFenced(call.body)) {
        return this->answer(StatusConflict, {{"Reason", "fence"}});
    }
    return (this->*handler->second)(call);
}

http::Response SoakIncarnation::startRun(const UpstreamCall &call)
{
    const std::string task = call.body.value("Task", "");
    const auto attempt = call.body.value("Attempt", std::uint32_t{0});
    if (std::chrono::milliseconds(call.body.value("DeadlineMs", std::int64_t{0})) <= this->clock()) {
        return this->answer(StatusConflict, {{"Reason", "late"}});
    }
    this->extendLease(call);
    if (const auto found = this->running.find(task); found != this->running.end() && found->second.attempt == attempt) {
        return this->answer(StatusOk);
    }
    std::uint32_t &known = this->highest[task];
    if (attempt <= known) {
        return this->answer(StatusConflict, {{"Reason", "old"}});
    }
    known = attempt;
    const SteadyTime now = std::chrono::steady_clock::now();
    if (this->running.count(task) != 0) {
        this->endRun(task, "stopped", now);
    }
    const std::string origin = call.receivedBy == this->incarnation ? "" : fmt::format(", by a late start received by incarnation {}", call.receivedBy);
    this->running[task] = {task, attempt, this->place, now, origin};
    this->runs.recordStart(this->running[task]);
    this->work.recordStart(task, attempt);
    return this->answer(StatusOk);
}

http::Response SoakIncarnation::stopRun(const UpstreamCall &call)
{
    const std::string task = call.body.value("Task", "");
    const auto attempt = call.body.value("Attempt", std::uint32_t{0});
    this->highest[task] = std::max(this->highest[task], attempt);
    if (const auto found = this->running.find(task); found != this->running.end() && found->second.attempt <= attempt) {
        this->endRun(task, "stopped", std::chrono::steady_clock::now());
    }
    return this->answer(StatusOk);
}

http::Response SoakIncarnation::renew(const UpstreamCall &call)
{
    this->extendLease(call);
    this->acknowledgeEnds(call);
    if (this->hasAnswered && !call.isLate && !this->knownAt) {
        this->knownAt = std::chrono::steady_clock::now();
    }
    return this->answer(StatusOk);
}

http::Response SoakIncarnation::pace(const UpstreamCall & /*call*/)
{
    return this->answer(StatusOk);
}

bool SoakIncarnation::isFenced(const nlohmann::json &body)
{
    const auto token = body.value("FencingToken", std::uint64_t{0});
    const bool lower = token < this->fencingToken;
    this->fencingToken = std::max(this->fencingToken, token);
    return lower;
}

void SoakIncarnation::extendLease(const UpstreamCall &call)
{
    const std::chrono::milliseconds asked(call.body.value("DeadlineMs", std::int64_t{0}));
    const auto granted = std::min<std::chrono::milliseconds>(asked, this->clock() + PlatformLeaseMax);
    if (granted <= this->leaseEnd) {
        return;
    }
    this->leaseEnd = granted;
    const std::string origin = fmt::format("a{} call of {} with token {} and deadline {}, received by incarnation {} and carried out at {}",
                                           call.isLate ? " late" : "",
                                           call.path,
                                           call.body.value("FencingToken", std::uint64_t{0}),
                                           asked.count(),
                                           call.receivedBy,
                                           this->clock().count());
    this->runs.recordLease(this->place, this->leaseEndTime(), origin);
}

void SoakIncarnation::acknowledgeEnds(const UpstreamCall &call)
{
    const auto acknowledged = this->ends.upper_bound(call.body.value("AckCursor", std::uint64_t{0}));
    std::for_each(this->ends.begin(), acknowledged, [this, &call](const auto &entry) {
        // A cursor that was meant for an earlier incarnation acknowledges nothing that the cell has read.
        if (const End &end = entry.second; end.listed && call.receivedBy == this->incarnation) {
            this->runs.recordAcknowledgement(end.run.task, end.run.attempt, end.how);
        }
    });
    this->ends.erase(this->ends.begin(), acknowledged);
}

void SoakIncarnation::endRuns()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (this->clock() >= this->leaseEnd) {
        this->endAllRuns("lapsed", this->leaseEndTime());
    }
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : this->running) {
        if (const std::string how = this->work.endOf(task, run.attempt); !how.empty()) {
            ended.emplace_back(task, how);
        }
    }
    for (const auto &[task, how] : ended) {
        this->endRun(task, how, now);
    }
}

void SoakIncarnation::endAllRuns(const std::string &how, SteadyTime endedAt)
{
    while (!this->running.empty()) {
        this->endRun(std::string(this->running.begin()->first), how, endedAt);
    }
}

void SoakIncarnation::endRun(const std::string &task, const std::string &how, SteadyTime endedAt)
{
    const TaskRun run = this->running.at(task);
    ++this->lastEnd;
    this->ends[this->lastEnd] = {nlohmann::json{this->lastEnd, task, run.attempt, how, ""}, run, how, false};
    this->running.erase(task);
    this->runs.recordEnd(run, how, endedAt);
    this->work.recordEnd(task, run.attempt, how);
}

http::Response SoakIncarnation::lists()
{
    nlohmann::json body = {{"born", this->bornMs}, {"Running", nlohmann::json::array()}, {"Finished", nlohmann::json::array()}};
    for (const auto &[task, run] : this->running) {
        body["Running"].push_back({task, run.attempt, "", 100, 0});
    }
    for (auto &[number, end] : this->ends) {
        if (body["Finished"].size() < MaxEndsPerResponse) {
            body["Finished"].push_back(end.row);
            end.listed = true;
        }
    }
    this->hasAnswered = true;
    return this->answer(StatusOk, std::move(body));
}

http::Response SoakIncarnation::answer(unsigned int status, nlohmann::json body) const
{
    body["ClockMs"] = this->clock().count();
    http::Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

bool SoakIncarnation::isKnown() const
{
    return this->knownAt && std::chrono::steady_clock::now() - *this->knownAt >= AnswerTime;
}

SoakIncarnation::SteadyTime SoakIncarnation::leaseEndTime() const
{
    return this->startedAt + std::chrono::duration_cast<SteadyTime::duration>(this->leaseEnd / this->clockRate);
}

} // namespace cranberryreel::soak
