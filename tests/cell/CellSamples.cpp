#include "cell/CellSamples.h"

namespace cranberryreel::support
{

namespace
{

constexpr std::uint32_t TaskMemoryMib = 100;
constexpr std::uint32_t UpstreamMemoryMib = 100000;

} // namespace

std::unique_ptr<cell::wire::StepT> step(std::uint32_t tasks, std::uint32_t cpuMillis)
{
    auto made = std::make_unique<cell::wire::StepT>();
    made->tasks = tasks;
    made->cpu_millis = cpuMillis;
    made->memory_mib = TaskMemoryMib;
    return made;
}

std::unique_ptr<cell::wire::QueueT> queue(const std::string &name, int priority, std::uint32_t maxFailures)
{
    auto made = std::make_unique<cell::wire::QueueT>();
    made->name = name;
    made->host = "host";
    made->path_prefix = "/" + name + "/";
    made->service = "workers";
    made->priority = priority;
    made->max_failures = maxFailures;
    return made;
}

std::unique_ptr<cell::wire::RulesT> rules(std::uint64_t version)
{
    auto made = std::make_unique<cell::wire::RulesT>();
    made->version = version;
    made->queues.push_back(queue("quick", 0, 2));
    made->queues.push_back(queue("wide", 2, 2));
    made->document = "version " + std::to_string(version);
    return made;
}

std::unique_ptr<cell::wire::UpstreamT> upstream(const std::string &id, std::uint32_t cpuMillis)
{
    auto made = std::make_unique<cell::wire::UpstreamT>();
    made->id = id;
    made->born_ms = 1;
    made->service = "workers";
    made->address = "127.0.0.1:1";
    made->zone = "z";
    made->labels = {"a", "rack-1"};
    made->cpu_millis = cpuMillis;
    made->memory_mib = UpstreamMemoryMib;
    return made;
}

std::unique_ptr<cell::wire::JobSpecT> job(const std::string &id, std::vector<std::unique_ptr<cell::wire::StepT>> steps, const std::string &queueName)
{
    auto made = std::make_unique<cell::wire::JobSpecT>();
    made->id = id;
    made->queue = queueName;
    made->service = "workers";
    made->max_failures = 2;
    made->payload = "payload of " + id;
    made->steps = std::move(steps);
    return made;
}

std::unique_ptr<cell::wire::JobSpecT> job(const std::string &id, std::unique_ptr<cell::wire::StepT> only, const std::string &queueName)
{
    std::vector<std::unique_ptr<cell::wire::StepT>> steps;
    steps.push_back(std::move(only));
    return job(id, std::move(steps), queueName);
}

cell::wire::CommandT accept(std::unique_ptr<cell::wire::JobSpecT> spec)
{
    cell::wire::CommandT command;
    command.jobs.push_back(std::move(spec));
    return command;
}

cell::wire::CommandT announce(std::unique_ptr<cell::wire::UpstreamT> announced)
{
    cell::wire::CommandT command;
    command.upstreams.push_back(std::move(announced));
    return command;
}

cell::wire::CommandT place(const cell::TaskKey &task, std::uint32_t attempt, std::uint64_t at)
{
    auto placement = std::make_unique<cell::wire::PlacementT>();
    placement->task = std::make_unique<cell::wire::TaskRefT>(cell::toRef(task));
    placement->attempt = attempt;
    placement->upstream = at;
    cell::wire::CommandT command;
    command.placements.push_back(std::move(placement));
    return command;
}

cell::wire::CommandT end(const cell::TaskKey &task, std::uint32_t attempt, std::uint64_t at, cell::wire::EndKind kind, const std::string &checkpoint)
{
    auto ended = std::make_unique<cell::wire::EndT>();
    ended->task = std::make_unique<cell::wire::TaskRefT>(cell::toRef(task));
    ended->attempt = attempt;
    ended->upstream = at;
    ended->kind = kind;
    ended->checkpoint = checkpoint;
    cell::wire::CommandT command;
    command.ends.push_back(std::move(ended));
    command.counts_runs = true;
    return command;
}

cell::wire::CommandT put(std::unique_ptr<cell::wire::RulesT> newRules)
{
    cell::wire::CommandT command;
    command.rules = std::move(newRules);
    return command;
}

cell::TaskKey key(std::uint64_t jobNumber, std::uint32_t stepIndex, std::uint32_t task)
{
    return {{jobNumber, 0, stepIndex}, task};
}

} // namespace cranberryreel::support
