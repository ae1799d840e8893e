#include "upstream/ReportCodec.h"

#include "upstream/WireNames.h"

#include <limits>

namespace cranberryreel::upstream
{

namespace
{

constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxTaskIdBytes = 512;
constexpr std::size_t MaxAnswerBytes = 64U << 20U;
constexpr std::size_t MaxTasks = 10000;
constexpr std::int64_t MaxSlots = 10000;
constexpr std::int64_t MaxCpuMillis = 100'000'000;
constexpr std::int64_t MaxMemoryMiB = 1'000'000'000;
constexpr std::int64_t MaxAccelerators = 10000;

model::JobState readTaskState(http::JsonReader &reader)
{
    const auto state = stateFromName(reader.text("state", 1, MaxNameBytes));
    if (!state || *state == model::JobState::Accepted || *state == model::JobState::Unknown) {
        reader.throwOutOfRange("state", "must be running, done, failed or not_run");
    }
    return *state;
}

} // namespace

nlohmann::json taskReportToJson(const model::TaskReport &report)
{
    nlohmann::json json = {{"task_id", report.taskId},
                           {"attempt", report.attempt},
                           {"state", std::string(stateName(report.state))},
                           {"cpu_millis", report.usage.cpuMillis},
                           {"memory_mib", report.usage.memoryMiB},
                           {"accelerators", report.usage.accelerators},
                           {"reserved_cpu_millis", report.reserved.cpuMillis},
                           {"reserved_memory_mib", report.reserved.memoryMiB},
                           {"reserved_accelerators", report.reserved.accelerators}};
    if (!report.answer.empty()) {
        json["answer"] = report.answer;
    }
    return json;
}

nlohmann::json upstreamReportToJson(const model::UpstreamReport &report)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const model::TaskReport &task : report.tasks) {
        tasks.push_back(taskReportToJson(task));
    }
    return {{"id", report.id},
            {"vm", report.vm},
            {"zone", report.zone},
            {"boot", report.boot},
            {"address", report.address},
            {"service", report.service},
            {"slots", report.slots},
            {"leaving", report.leaving},
            {"epoch", report.epoch},
            {"tasks", std::move(tasks)}};
}

model::TaskReport taskReportFrom(http::JsonReader reader, Strictness strictness)
{
    model::TaskReport report;
    report.taskId = reader.text("task_id", 1, MaxTaskIdBytes);
    report.attempt = static_cast<std::uint32_t>(reader.integer("attempt", 0, std::numeric_limits<std::uint32_t>::max()));
    report.state = readTaskState(reader);
    report.usage.cpuMillis = reader.integerOr("cpu_millis", 0, 0, MaxCpuMillis);
    report.usage.memoryMiB = reader.integerOr("memory_mib", 0, 0, MaxMemoryMiB);
    report.usage.accelerators = reader.integerOr("accelerators", 0, 0, MaxAccelerators);
    report.reserved.cpuMillis = reader.integerOr("reserved_cpu_millis", 0, 0, MaxCpuMillis);
    report.reserved.memoryMiB = reader.integerOr("reserved_memory_mib", 0, 0, MaxMemoryMiB);
    report.reserved.accelerators = reader.integerOr("reserved_accelerators", 0, 0, MaxAccelerators);
    report.answer = reader.textOr("answer", "", MaxAnswerBytes);
    if (strictness == Strictness::Strict) {
        reader.rejectUnknownFields();
    }
    return report;
}

model::UpstreamReport upstreamReportFrom(http::JsonReader reader, Strictness strictness)
{
    model::UpstreamReport report;
    report.id = reader.text("id", 1, MaxNameBytes);
    report.vm = reader.text("vm", 1, MaxNameBytes);
    report.zone = reader.text("zone", 1, MaxNameBytes);
    report.boot = reader.text("boot", 1, MaxNameBytes);
    report.address = strictness == Strictness::Strict ? reader.text("address", 1, MaxNameBytes) : reader.textOr("address", "", MaxNameBytes);
    report.service = reader.textOr("service", "", MaxNameBytes);
    report.slots = static_cast<std::uint32_t>(reader.integer("slots", 0, MaxSlots));
    report.leaving = reader.flagOr("leaving", false);
    report.epoch = static_cast<std::uint64_t>(reader.integerOr("epoch", 0, 0, std::numeric_limits<std::int64_t>::max()));
    for (http::JsonReader &task : reader.objects("tasks", MaxTasks)) {
        report.tasks.push_back(taskReportFrom(std::move(task), strictness));
    }
    if (strictness == Strictness::Strict) {
        reader.rejectUnknownFields();
    }
    return report;
}

} // namespace cranberryreel::upstream
