#include "entry/StatusCodec.h"

#include "http/JsonReader.h"
#include "upstream/WireNames.h"

namespace cranberryreel::entry
{

std::string statusToJson(const model::JobStatus &status, const std::string &traceId)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const model::TaskStatus &task : status.tasks) {
        tasks.push_back({{"index", task.index},
                         {"state", std::string(upstream::stateName(task.state))},
                         {"code", static_cast<int>(task.code)},
                         {"upstream", task.upstream},
                         {"attempt", task.attempt}});
    }
    nlohmann::json json = {{"id", status.id},
                           {"kind", std::string(upstream::kindName(status.kind))},
                           {"partner", status.partner},
                           {"name", status.name},
                           {"state", std::string(upstream::stateName(status.state))},
                           {"code", static_cast<int>(status.code)},
                           {"code_name", std::string(base::resultName(status.code))},
                           {"reason", status.reason},
                           {"tasks", std::move(tasks)}};
    if (!status.answer.empty()) {
        json["answer"] = status.answer;
    }
    if (!traceId.empty()) {
        json["trace_id"] = traceId;
    }
    return http::jsonText(json);
}

} // namespace cranberryreel::entry
