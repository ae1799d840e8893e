#include "entry/SubmissionCodec.h"

#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"
#include "upstream/WireNames.h"

namespace cranberryreel::entry
{

namespace
{

constexpr std::size_t LongestName = 128;
constexpr std::size_t LongestKey = 256;
constexpr std::size_t LongestPayload = 256U << 10U;
constexpr std::int64_t MostCpuMillis = 1'024'000;
constexpr std::int64_t MostMemoryMiB = 16'777'216;
constexpr std::int64_t MostAccelerators = 64;
constexpr std::int64_t MostTasks = 10000;
constexpr std::int64_t MostPriority = 9;
constexpr std::int64_t LongestRequestMs = 3'600'000;
constexpr std::int64_t LongestJobMs = 30LL * 24 * 3'600'000;

void readCommon(http::JsonReader &reader, model::JobSpec &spec)
{
    spec.name = reader.text("name", 1, LongestName);
    spec.service = reader.textOr("service", "", LongestName);
    spec.perTask.cpuMillis = reader.integer("cpu_millis", 1, MostCpuMillis);
    spec.perTask.memoryMiB = reader.integer("memory_mib", 1, MostMemoryMiB);
    spec.perTask.accelerators = reader.integerOr("accelerators", 0, 0, MostAccelerators);
    spec.runTime = std::chrono::milliseconds(reader.integerOr("run_time_ms", 0, 0, LongestJobMs));
    spec.priority = static_cast<std::int32_t>(reader.integerOr("priority", 0, 0, MostPriority));
    spec.repeatable = reader.flagOr("repeatable", true);
    spec.key = reader.textOr("key", "", LongestKey);
    spec.payload = reader.textOr("payload", "", LongestPayload);
    if (!spec.repeatable && spec.key.empty()) {
        throw base::Error(base::ResultCode::MissingField, "key is required where repeatable is false.");
    }
}

model::JobKind jobKind(http::JsonReader &reader)
{
    const auto kind = upstream::kindNamed(reader.text("kind", 1, LongestName));
    if (!kind || *kind == model::JobKind::Request) {
        reader.refuse("kind", "must be service, batch or gang");
    }
    return *kind;
}

} // namespace

model::JobSpec requestFromJson(std::string_view body)
{
    const nlohmann::json json = http::parseJson(body);
    http::JsonReader reader(json);
    model::JobSpec spec;
    readCommon(reader, spec);
    spec.deadline = std::chrono::milliseconds(reader.integer("deadline_ms", 1, LongestRequestMs));
    reader.finish();
    return spec;
}

model::JobSpec jobFromJson(std::string_view body)
{
    const nlohmann::json json = http::parseJson(body);
    http::JsonReader reader(json);
    model::JobSpec spec;
    spec.kind = jobKind(reader);
    readCommon(reader, spec);
    spec.tasks = static_cast<std::uint32_t>(reader.integer("tasks", 1, MostTasks));
    spec.deadline = std::chrono::milliseconds(reader.integerOr("deadline_ms", 0, 0, LongestJobMs));
    reader.finish();
    return spec;
}

} // namespace cranberryreel::entry
