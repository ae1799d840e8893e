#include "entry/SubmissionCodec.h"

#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"
#include "upstream/WireNames.h"

namespace cranberryreel::entry
{

namespace
{

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::size_t MaxPayloadBytes = 256U << 10U;
constexpr std::int64_t MaxCpuMillis = 1'024'000;
constexpr std::int64_t MaxMemoryMiB = 16'777'216;
constexpr std::int64_t MaxAccelerators = 64;
constexpr std::int64_t MaxTasks = 10000;
constexpr std::int64_t MaxPriority = 9;
constexpr std::int64_t MaxRequestMs = 3'600'000;
constexpr std::int64_t MaxJobMs = 30LL * 24 * 3'600'000;

void readCommonFields(http::JsonReader &reader, model::JobSpec &spec)
{
    spec.name = reader.text("name", 1, MaxNameBytes);
    spec.service = reader.textOr("service", "", MaxNameBytes);
    spec.perTask.cpuMillis = reader.integer("cpu_millis", 1, MaxCpuMillis);
    spec.perTask.memoryMiB = reader.integer("memory_mib", 1, MaxMemoryMiB);
    spec.perTask.accelerators = reader.integerOr("accelerators", 0, 0, MaxAccelerators);
    spec.runTime = std::chrono::milliseconds(reader.integerOr("run_time_ms", 0, 0, MaxJobMs));
    spec.priority = static_cast<std::int32_t>(reader.integerOr("priority", 0, 0, MaxPriority));
    spec.repeatable = reader.flagOr("repeatable", true);
    spec.key = reader.textOr("key", "", MaxKeyBytes);
    spec.payload = reader.textOr("payload", "", MaxPayloadBytes);
    if (!spec.repeatable && spec.key.empty()) {
        throw base::Error(base::ResultCode::MissingField, "key is required if repeatable is false.");
    }
}

model::JobKind readJobKind(http::JsonReader &reader)
{
    const auto kind = upstream::kindFromName(reader.text("kind", 1, MaxNameBytes));
    if (!kind || *kind == model::JobKind::Request) {
        reader.throwOutOfRange("kind", "must be service, batch or gang");
    }
    return *kind;
}

} // namespace

model::JobSpec requestFromJson(std::string_view body)
{
    const nlohmann::json json = http::parseJson(body);
    http::JsonReader reader(json);
    model::JobSpec spec;
    readCommonFields(reader, spec);
    spec.deadline = std::chrono::milliseconds(reader.integer("deadline_ms", 1, MaxRequestMs));
    reader.rejectUnknownFields();
    return spec;
}

model::JobSpec jobFromJson(std::string_view body)
{
    const nlohmann::json json = http::parseJson(body);
    http::JsonReader reader(json);
    model::JobSpec spec;
    spec.kind = readJobKind(reader);
    readCommonFields(reader, spec);
    spec.tasks = static_cast<std::uint32_t>(reader.integer("tasks", 1, MaxTasks));
    spec.deadline = std::chrono::milliseconds(reader.integerOr("deadline_ms", 0, 0, MaxJobMs));
    reader.rejectUnknownFields();
    return spec;
}

} // namespace cranberryreel::entry
