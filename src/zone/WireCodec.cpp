#include "zone/WireCodec.h"

#include "zone/WireTime.h"

#include <memory>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

std::unique_ptr<wire::Size> makeWireSize(const model::Resources &size)
{
    return std::make_unique<wire::Size>(toWire(size));
}

model::JobState stateFrom(std::uint8_t state)
{
    return state <= static_cast<std::uint8_t>(model::JobState::Unknown) ? static_cast<model::JobState>(state) : model::JobState::Unknown;
}

model::JobKind kindFrom(std::uint8_t kind)
{
    return kind <= static_cast<std::uint8_t>(model::JobKind::Gang) ? static_cast<model::JobKind>(kind) : model::JobKind::Request;
}

} // namespace

wire::Size toWire(const model::Resources &size)
{
    return {size.cpuMillis, size.memoryMiB, size.accelerators};
}

model::Resources fromWire(const wire::Size *size)
{
    return size == nullptr ? model::Resources{} : model::Resources{size->cpu_millis(), size->memory_mib(), size->accelerators()};
}

wire::SpecT toWire(const model::JobSpec &spec)
{
    wire::SpecT out;
    out.id = spec.id;
    out.kind = static_cast<std::uint8_t>(spec.kind);
    out.partner = spec.partner;
    out.name = spec.name;
    out.service = spec.service;
    out.tasks = spec.tasks;
    out.per_task = makeWireSize(spec.perTask);
    out.priority = spec.priority;
    out.run_time_ms = millisToWire(spec.runTime);
    out.deadline_ms = millisToWire(spec.deadline);
    out.repeatable = spec.repeatable;
    out.key = spec.key;
    out.payload = spec.payload;
    return out;
}

model::JobSpec fromWire(const wire::SpecT &spec)
{
    model::JobSpec out;
    out.id = spec.id;
    out.kind = kindFrom(spec.kind);
    out.partner = spec.partner;
    out.name = spec.name;
    out.service = spec.service;
    out.tasks = spec.tasks;
    out.perTask = fromWire(spec.per_task.get());
    out.priority = spec.priority;
    out.runTime = millisFromWire(spec.run_time_ms);
    out.deadline = millisFromWire(spec.deadline_ms);
    out.repeatable = spec.repeatable;
    out.key = spec.key;
    out.payload = spec.payload;
    return out;
}

wire::JobT toWire(const JobRecord &job)
{
    wire::JobT out;
    out.spec = std::make_unique<wire::SpecT>(toWire(job.spec));
    for (const TaskRecord &task : job.tasks) {
        auto item = std::make_unique<wire::TaskT>();
        item->state = static_cast<std::uint8_t>(task.state);
        item->code = static_cast<int>(task.code);
        item->upstream = task.upstream;
        item->boot = task.boot;
        item->attempt = task.attempt;
        item->reserved = makeWireSize(task.reserved);
        item->failures = task.failures;
        out.tasks.push_back(std::move(item));
    }
    out.cancelled = job.cancelled;
    out.state = static_cast<std::uint8_t>(job.state);
    out.code = static_cast<int>(job.code);
    out.reason = job.reason;
    out.answer = job.answer;
    out.accepted_unix_ms = millisToWire(job.acceptedAt);
    out.final_unix_ms = millisToWire(job.finalAt);
    return out;
}

JobRecord fromWire(const wire::JobT &job)
{
    JobRecord out;
    if (job.spec) {
        out.spec = fromWire(*job.spec);
    }
    for (const auto &task : job.tasks) {
        TaskRecord item;
        item.state = stateFrom(task->state);
        item.code = static_cast<base::ResultCode>(task->code);
        item.upstream = task->upstream;
        item.boot = task->boot;
        item.attempt = task->attempt;
        item.reserved = fromWire(task->reserved.get());
        item.failures = task->failures;
        out.tasks.push_back(std::move(item));
    }
    out.cancelled = job.cancelled;
    out.state = stateFrom(job.state);
    out.code = static_cast<base::ResultCode>(job.code);
    out.reason = job.reason;
    out.answer = job.answer;
    out.acceptedAt = millisFromWire(job.accepted_unix_ms);
    out.finalAt = millisFromWire(job.final_unix_ms);
    return out;
}

wire::UpstreamT toWire(const UpstreamRecord &upstream)
{
    wire::UpstreamT out;
    out.id = upstream.id;
    out.vm = upstream.vm;
    out.boot = upstream.boot;
    out.address = upstream.address;
    out.service = upstream.service;
    out.slots = upstream.slots;
    return out;
}

UpstreamRecord fromWire(const wire::UpstreamT &upstream)
{
    return {upstream.id, upstream.vm, upstream.boot, upstream.address, upstream.service, upstream.slots};
}

wire::TaskChangeT toWire(const TaskChange &change)
{
    wire::TaskChangeT out;
    out.job = change.job;
    out.task = change.task;
    out.kind = static_cast<wire::TaskChangeKind>(change.kind);
    out.attempt = change.attempt;
    out.upstream = change.upstream;
    out.boot = change.boot;
    out.reserved = makeWireSize(change.reserved);
    out.state = static_cast<std::uint8_t>(change.state);
    out.code = static_cast<int>(change.code);
    out.failed = change.mayHaveRun;
    out.answer = change.answer;
    return out;
}

TaskChange fromWire(const wire::TaskChangeT &change)
{
    TaskChange out;
    out.job = change.job;
    out.task = change.task;
    out.kind = static_cast<TaskChangeKind>(change.kind);
    out.attempt = change.attempt;
    out.upstream = change.upstream;
    out.boot = change.boot;
    out.reserved = fromWire(change.reserved.get());
    out.state = stateFrom(change.state);
    out.code = static_cast<base::ResultCode>(change.code);
    out.mayHaveRun = change.failed;
    out.answer = change.answer;
    return out;
}

wire::StatusT toWire(const model::JobStatus &status)
{
    wire::StatusT out;
    out.id = status.id;
    out.kind = static_cast<std::uint8_t>(status.kind);
    out.partner = status.partner;
    out.name = status.name;
    out.state = static_cast<std::uint8_t>(status.state);
    out.code = static_cast<int>(status.code);
    out.reason = status.reason;
    for (const model::TaskStatus &task : status.tasks) {
        auto item = std::make_unique<wire::StatusTaskT>();
        item->index = task.index;
        item->state = static_cast<std::uint8_t>(task.state);
        item->code = static_cast<int>(task.code);
        item->upstream = task.upstream;
        item->attempt = task.attempt;
        out.tasks.push_back(std::move(item));
    }
    out.answer = status.answer;
    out.answer_bytes = status.answer.size();
    return out;
}

model::JobStatus fromWire(const wire::StatusT &status)
{
    model::JobStatus out;
    out.id = status.id;
    out.kind = kindFrom(status.kind);
    out.partner = status.partner;
    out.name = status.name;
    out.state = stateFrom(status.state);
    out.code = static_cast<base::ResultCode>(status.code);
    out.reason = status.reason;
    for (const auto &task : status.tasks) {
        out.tasks.push_back({task->index, stateFrom(task->state), static_cast<base::ResultCode>(task->code), task->upstream, task->attempt});
    }
    out.answer = status.answer;
    return out;
}

wire::ReportT toWire(const model::UpstreamReport &report)
{
    wire::ReportT out;
    out.id = report.id;
    out.vm = report.vm;
    out.zone = report.zone;
    out.boot = report.boot;
    out.address = report.address;
    out.service = report.service;
    out.slots = report.slots;
    out.leaving = report.leaving;
    out.epoch = report.epoch;
    for (const model::TaskReport &task : report.tasks) {
        auto item = std::make_unique<wire::ReportedTaskT>();
        item->task_id = task.taskId;
        item->attempt = task.attempt;
        item->state = static_cast<std::uint8_t>(task.state);
        item->usage = makeWireSize(task.usage);
        item->reserved = makeWireSize(task.reserved);
        item->answer = task.answer;
        out.tasks.push_back(std::move(item));
    }
    return out;
}

model::UpstreamReport fromWire(const wire::ReportT &report)
{
    model::UpstreamReport out;
    out.id = report.id;
    out.vm = report.vm;
    out.zone = report.zone;
    out.boot = report.boot;
    out.address = report.address;
    out.service = report.service;
    out.slots = report.slots;
    out.leaving = report.leaving;
    out.epoch = report.epoch;
    for (const auto &task : report.tasks) {
        out.tasks.push_back({task->task_id, task->attempt, stateFrom(task->state), fromWire(task->usage.get()), fromWire(task->reserved.get()), task->answer});
    }
    return out;
}

} // namespace cranberryreel::zone
