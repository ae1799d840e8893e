#include "support/FakeTaskTable.h"

#include "http/JsonReader.h"
#include "upstream/ReportCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace cranberryreel::testsupport
{

namespace
{

using base::ResultCode;
using std::chrono::milliseconds;

constexpr unsigned int Conflict = 409;

std::string newBootId()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}", source(), source());
}

model::Resources readResources(const nlohmann::json &request)
{
    return {request.value("cpu_millis", std::int64_t{0}), request.value("memory_mib", std::int64_t{0}), request.value("accelerators", std::int64_t{0})};
}

nlohmann::json payloadObject(const std::string &payload)
{
    const nlohmann::json parsed = nlohmann::json::parse(payload, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

std::string payloadAnswer(const nlohmann::json &payload)
{
    if (const auto bytes = payload.value("answer_bytes", std::size_t{0}); bytes > 0) {
        return std::string(bytes, 'x');
    }
    return payload.value("echo", std::string());
}

http::Response refusedResponse(const std::string &reason)
{
    return http::errorResponse(ResultCode::UpstreamRefused, reason);
}

} // namespace

FakeTaskTable::FakeTaskTable(const FakeUpstreamOptions &upstreamOptions, FakeJournal &taskJournal)
    : options(upstreamOptions)
    , journal(taskJournal)
    , boot(newBootId())
{
}

bool FakeTaskTable::rejectsEpoch(const nlohmann::json &request)
{
    const auto requestEpoch = request.value("epoch", std::uint64_t{0});
    if (requestEpoch < this->epoch) {
        return true;
    }
    this->epoch = requestEpoch;
    return false;
}

http::Response FakeTaskTable::staleEpochResponse() const
{
    const nlohmann::json body = {{"code", static_cast<int>(ResultCode::UpstreamStaleEpoch)}, {"epoch", this->epoch}};
    return {Conflict, "application/json", http::jsonText(body), false};
}

std::optional<http::Response> FakeTaskTable::refusalResponse(const std::string &id, std::uint32_t attempt, const model::Resources &size) const
{
    std::uint32_t running = 0;
    model::Resources used = size;
    for (const auto &[taskId, task] : this->tasks) {
        if (task.state == model::JobState::Running) {
            ++running;
            used += task.reserved;
        }
    }
    const auto found = this->tasks.find(id);
    if (found != this->tasks.end() && (attempt < found->second.attempt || found->second.state == model::JobState::Running)) {
        return refusedResponse("Another attempt of this task exists here.");
    }
    if (this->refusedAttempts.contains(id, attempt)) {
        return refusedResponse("This attempt was stopped before its start, or has ended.");
    }
    if (this->leaving) {
        return refusedResponse("This upstream is leaving.");
    }
    if (running >= this->options.slots || !used.fitsIn(this->options.capacity)) {
        return refusedResponse("This upstream is full.");
    }
    return std::nullopt;
}

void FakeTaskTable::start(const nlohmann::json &request, base::SteadyTime receivedAt, base::SteadyTime now, HeldAnswer answer)
{
    const auto id = request.at("task_id").get<std::string>();
    const auto attempt = request.at("attempt").get<std::uint32_t>();
    if (this->rejectsEpoch(request)) {
        this->sendAnswer(answer, this->staleEpochResponse());
        return;
    }
    const auto known = this->tasks.find(id);
    FakeTask *task = known != this->tasks.end() && known->second.attempt == attempt ? &known->second : nullptr;
    if (task == nullptr) {
        if (now - receivedAt > milliseconds(request.value("expires_in_ms", std::int64_t{0}))) {
            this->sendAnswer(answer, refusedResponse("The start has expired."));
            return;
        }
        if (const auto expectedBoot = request.value("boot", std::string()); !expectedBoot.empty() && expectedBoot != this->boot) {
            this->sendAnswer(answer, refusedResponse("The start was meant for this upstream before its restart."));
            return;
        }
        if (const auto reason = this->refusalResponse(id, attempt, readResources(request))) {
            this->sendAnswer(answer, *reason);
            return;
        }
        task = &this->create(request, now);
    }
    answer.until = now + milliseconds(request.value("wait_ms", std::int64_t{0}));
    task->held.push_back(std::move(answer));
    this->sendHeldAnswers(*task, now, task->state != model::JobState::Running);
}

FakeTask &FakeTaskTable::create(const nlohmann::json &request, base::SteadyTime now)
{
    FakeTask task;
    task.id = request.at("task_id").get<std::string>();
    task.attempt = request.at("attempt").get<std::uint32_t>();
    task.kind = request.value("kind", "request");
    task.payload = request.value("payload", "");
    task.reserved = readResources(request);
    const nlohmann::json payload = payloadObject(task.payload);
    task.uses = task.reserved;
    task.uses.memoryMiB = payload.value("use_memory_mib", task.reserved.memoryMiB);
    task.failsAtEnd = payload.value("fail", false);
    task.answerAtEnd = payloadAnswer(payload);
    task.startedAt = now;
    if (payload.contains("run_ms") || task.kind != "service") {
        task.endsAt = now + milliseconds(payload.value("run_ms", static_cast<std::int64_t>(this->options.runTime.count())));
    }
    task.leaseUntil = now + milliseconds(request.at("lease_ms").get<std::int64_t>());
    FakeTask &stored = this->tasks[task.id];
    stored = std::move(task);
    this->journal.start(this->options, stored, now);
    if (this->failAll) {
        this->end(stored, model::JobState::Failed, now, "failed", now);
    }
    return stored;
}

void FakeTaskTable::end(FakeTask &task, model::JobState state, base::SteadyTime when, const std::string &outcome, base::SteadyTime now)
{
    task.state = state;
    task.answer = state == model::JobState::Done ? task.answerAtEnd : "";
    this->journal.end(this->options, task, when, outcome);
    if (task.held.empty()) {
        this->hasUnreportedEnd = true;
    }
    this->sendHeldAnswers(task, now, true);
}

void FakeTaskTable::sendHeldAnswers(FakeTask &task, base::SteadyTime now, bool all)
{
    std::vector<HeldAnswer> remaining;
    for (HeldAnswer &held : task.held) {
        if (all || held.until <= now) {
            this->sendAnswer(held, this->taskResponse(task, now));
        } else {
            remaining.push_back(std::move(held));
        }
    }
    task.held = std::move(remaining);
}

void FakeTaskTable::sendAnswer(const HeldAnswer &held, const http::Response &response)
{
    if (held.connection <= this->silencedConnection) {
        this->unsentAnswers.push_back(held);
        this->hasUnreportedEnd = true;
    } else {
        held.respond(response);
    }
}

http::Response FakeTaskTable::renew(const nlohmann::json &request, base::SteadyTime now)
{
    if (this->rejectsEpoch(request)) {
        return this->staleEpochResponse();
    }
    for (const nlohmann::json &ended : request.value("acknowledged", nlohmann::json::array())) {
        const auto found = this->tasks.find(ended.at("task_id").get<std::string>());
        const bool same = found != this->tasks.end() && found->second.attempt == ended.at("attempt").get<std::uint32_t>();
        if (same && found->second.state != model::JobState::Running) {
            this->refusedAttempts.add(found->first, found->second.attempt, now);
            this->tasks.erase(found);
        }
    }
    // A renewal with a lease of zero only raises the epoch and reads back the tasks.
    for (auto &[id, task] : this->tasks) {
        task.leaseUntil = std::max(task.leaseUntil, now + milliseconds(request.at("lease_ms").get<std::int64_t>()));
    }
    model::UpstreamReport answer = this->report(now);
    if (!request.value("whole", true)) {
        const auto runs = [](const model::TaskReport &task) { return task.state == model::JobState::Running; };
        answer.tasks.erase(std::remove_if(answer.tasks.begin(), answer.tasks.end(), runs), answer.tasks.end());
    }
    return {200, "application/json", http::jsonText(upstream::upstreamReportToJson(answer)), false};
}

http::Response FakeTaskTable::taskStatus(const std::string &taskId, base::SteadyTime now) const
{
    const auto found = this->tasks.find(taskId);
    return found == this->tasks.end() ? http::errorResponse(ResultCode::NotFound, "No such task.") : this->taskResponse(found->second, now);
}

http::Response FakeTaskTable::command(const std::string &taskId, const std::string &action, const nlohmann::json &request, base::SteadyTime now)
{
    if (this->rejectsEpoch(request)) {
        return this->staleEpochResponse();
    }
    const auto attempt = request.value("attempt", std::uint32_t{0});
    if (action == "stop") {
        this->refusedAttempts.add(taskId, attempt, now);
    }
    const auto found = this->tasks.find(taskId);
    if (found == this->tasks.end()) {
        return http::errorResponse(ResultCode::NotFound, "No such task.");
    }
    FakeTask &task = found->second;
    if (action == "stop" && task.state == model::JobState::Running && task.attempt <= attempt) {
        this->end(task, model::JobState::Failed, now, "stopped", now);
    } else if (action == "throttle") {
        task.uses.cpuMillis = std::min(task.uses.cpuMillis, task.reserved.cpuMillis);
        task.uses.memoryMiB = std::min(task.uses.memoryMiB, task.reserved.memoryMiB);
    }
    return this->taskResponse(task, now);
}

bool FakeTaskTable::advance(base::SteadyTime now)
{
    for (auto &[id, task] : this->tasks) {
        if (task.state != model::JobState::Running) {
            continue;
        }
        const bool endsFirst = task.endsAt && *task.endsAt <= task.leaseUntil;
        if (endsFirst && *task.endsAt <= now) {
            this->end(task, task.failsAtEnd ? model::JobState::Failed : model::JobState::Done, *task.endsAt, task.failsAtEnd ? "failed" : "done", now);
        } else if (!endsFirst && task.leaseUntil <= now) {
            this->end(task, model::JobState::Failed, task.leaseUntil, "lease_lost", now);
        } else {
            this->sendHeldAnswers(task, now, false);
        }
    }
    return std::exchange(this->hasUnreportedEnd, false);
}

std::optional<base::SteadyTime> FakeTaskTable::nextDue() const
{
    std::optional<base::SteadyTime> due;
    const auto consider = [&due](base::SteadyTime time) { due = due ? std::min(*due, time) : time; };
    for (const auto &[id, task] : this->tasks) {
        if (task.state != model::JobState::Running) {
            continue;
        }
        consider(task.endsAt ? std::min(*task.endsAt, task.leaseUntil) : task.leaseUntil);
        for (const HeldAnswer &held : task.held) {
            consider(held.until);
        }
    }
    return due;
}

model::TaskReport FakeTaskTable::taskReport(const FakeTask &task, base::SteadyTime now) const
{
    const bool known = now - task.startedAt >= this->options.usageLag;
    return {task.id, task.attempt, task.state, known ? task.uses : model::Resources{}, task.reserved, task.answer};
}

http::Response FakeTaskTable::taskResponse(const FakeTask &task, base::SteadyTime now) const
{
    return {200, "application/json", http::jsonText(upstream::taskReportToJson(this->taskReport(task, now))), false};
}

model::UpstreamReport FakeTaskTable::report(base::SteadyTime now) const
{
    model::UpstreamReport report;
    report.id = this->options.id;
    report.vm = this->options.vm;
    report.zone = this->options.zone;
    report.service = this->options.service;
    report.boot = this->boot;
    report.slots = this->options.slots;
    report.leaving = this->leaving;
    report.epoch = this->epoch;
    for (const auto &[id, task] : this->tasks) {
        report.tasks.push_back(this->taskReport(task, now));
    }
    return report;
}

void FakeTaskTable::restart(base::SteadyTime now)
{
    for (auto &[id, task] : this->tasks) {
        if (task.state == model::JobState::Running) {
            this->journal.end(this->options, task, now, "killed");
        }
        this->unsentAnswers.insert(this->unsentAnswers.end(), task.held.begin(), task.held.end());
    }
    this->tasks.clear();
    this->refusedAttempts.clear();
    this->epoch = 0;
    this->boot = newBootId();
}

void FakeTaskTable::removeEndedTasks()
{
    for (auto task = this->tasks.begin(); task != this->tasks.end();) {
        task = task->second.state == model::JobState::Running ? std::next(task) : this->tasks.erase(task);
    }
}

void FakeTaskTable::silenceUpTo(std::uint64_t connection)
{
    this->silencedConnection = connection;
}

} // namespace cranberryreel::testsupport
