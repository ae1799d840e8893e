#include "AdviceService.h"

#include <nlohmann/json.hpp>

namespace cranberryreel::review
{

using nlohmann::json;

AdviceService::AdviceService(const std::string &address, Record &caseRecord)
    : record(caseRecord)
    , server(address, [this](const HttpMessage &request) { return this->handle(request); })
{
    this->server.start();
}

std::string AdviceService::ticketFor(const std::string &step, const std::string &worker)
{
    return "ticket/" + step + "/" + worker;
}

HttpReply AdviceService::handle(const HttpMessage &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("Step") || !body.contains("Workers")) {
        return {400, "{}"};
    }
    const auto step = body["Step"].get<std::string>();
    json allowed = json::array();
    for (const json &worker : body["Workers"]) {
        const auto id = worker.get<std::string>();
        allowed.push_back(json::array({id, ticketFor(step, id)}));
    }
    this->record.write("advice service: asked about step " + step + " on " + std::to_string(allowed.size()) + " workers");
    return {200, json{{"Allowed", allowed}}.dump()};
}

} // namespace cranberryreel::review
