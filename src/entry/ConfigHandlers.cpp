#include "entry/ConfigHandlers.h"

#include "http/JsonReader.h"

#include <limits>

namespace cranberryreel::entry
{

namespace
{

constexpr unsigned int StatusOk = 200;
constexpr std::size_t LongestChangeId = 128;
constexpr std::size_t LongestText = 4U << 20U;

config::Change changeFrom(const std::string &body, config::ChangePart part)
{
    const nlohmann::json json = http::parseJson(body);
    http::JsonReader reader(json);
    config::Change change;
    change.id = reader.text("id", 1, LongestChangeId);
    change.fromRevision = static_cast<std::uint64_t>(reader.integer("from_revision", 0, std::numeric_limits<std::int64_t>::max()));
    change.part = part;
    change.text = reader.text("text", 0, LongestText);
    reader.finish();
    return change;
}

http::Response changeResponse(const config::ChangeReply &reply)
{
    const nlohmann::json body = {{"code", static_cast<int>(reply.code)},
                                 {"code_name", std::string(base::resultName(reply.code))},
                                 {"reason", reply.reason},
                                 {"revision", reply.revision},
                                 {"in_force_at", reply.inForceAt}};
    return {http::httpStatus(reply.code), "application/json", http::jsonText(body), false};
}

http::Response statusResponse(const std::vector<config::VmRevision> &vms)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const config::VmRevision &vm : vms) {
        rows.push_back({{"vm", vm.vm}, {"revision", vm.revision}, {"reachable", vm.reachable}, {"stale", vm.stale}});
    }
    return {StatusOk, "application/json", http::jsonText({{"vms", std::move(rows)}}), false};
}

} // namespace

ConfigHandlers::ConfigHandlers(std::shared_ptr<config::ConfigService> configuration)
    : config(std::move(configuration))
{
}

void ConfigHandlers::addRoutes(Router &router)
{
    using config::ChangePart;
    router.add({"POST", "/v1/config/register", Access::Operator, [this](const Call &call) { this->change(call, ChangePart::Register); }});
    router.add({"POST", "/v1/config/rules", Access::Operator, [this](const Call &call) { this->change(call, ChangePart::Rules); }});
    router.add({"GET", "/v1/config/current", Access::Operator, [this](const Call &call) { this->current(call); }});
    router.add({"GET", "/v1/config/status", Access::Operator, [this](const Call &call) { this->status(call); }});
}

void ConfigHandlers::change(const Call &call, config::ChangePart part)
{
    this->config->change(changeFrom(call.request->body, part), [respond = call.respond](const config::ChangeReply &reply) { respond(changeResponse(reply)); });
}

void ConfigHandlers::current(const Call &call)
{
    const auto now = this->config->current();
    const nlohmann::json body = {{"revision", now->revision}, {"register", now->registerText}, {"rules", now->rulesText}};
    call.respond({StatusOk, "application/json", http::jsonText(body), false});
}

void ConfigHandlers::status(const Call &call)
{
    this->config->status([respond = call.respond](const std::vector<config::VmRevision> &vms) { respond(statusResponse(vms)); });
}

} // namespace cranberryreel::entry
