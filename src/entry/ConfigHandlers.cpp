#include "entry/ConfigHandlers.h"

#include "http/JsonReader.h"

#include <limits>

namespace cranberryreel::entry
{

namespace
{

constexpr unsigned int StatusOk = 200;
constexpr std::size_t MaxChangeIdBytes = 128;
constexpr std::size_t MaxTextBytes = 4U << 20U;

config::Change decodeChange(const std::string &body, config::ChangePart part)
{
    const nlohmann::json json = http::parseJson(body);
    http::JsonReader reader(json);
    config::Change change;
    change.id = reader.text("id", 1, MaxChangeIdBytes);
    change.fromRevision = static_cast<std::uint64_t>(reader.integer("from_revision", 0, std::numeric_limits<std::int64_t>::max()));
    change.part = part;
    change.text = reader.text("text", 0, MaxTextBytes);
    reader.rejectUnknownFields();
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
    nlohmann::json vmList = nlohmann::json::array();
    for (const config::VmRevision &vm : vms) {
        vmList.push_back({{"vm", vm.vm}, {"revision", vm.revision}, {"reachable", vm.reachable}, {"stale", vm.stale}});
    }
    return {StatusOk, "application/json", http::jsonText({{"vms", std::move(vmList)}}), false};
}

} // namespace

ConfigHandlers::ConfigHandlers(std::shared_ptr<config::ConfigService> configuration)
    : config(std::move(configuration))
{
}

void ConfigHandlers::addRoutes(Router &router)
{
    using config::ChangePart;
    router.add({"POST", "/v1/config/register", Access::Operator, [this](const RoutedRequest &routed) { this->applyChange(routed, ChangePart::Register); }});
    router.add({"POST", "/v1/config/rules", Access::Operator, [this](const RoutedRequest &routed) { this->applyChange(routed, ChangePart::Rules); }});
    router.add({"GET", "/v1/config/current", Access::Operator, [this](const RoutedRequest &routed) { this->respondCurrent(routed); }});
    router.add({"GET", "/v1/config/status", Access::Operator, [this](const RoutedRequest &routed) { this->respondStatus(routed); }});
}

void ConfigHandlers::applyChange(const RoutedRequest &routed, config::ChangePart part)
{
    this->config->change(decodeChange(routed.request->body, part),
                         [respond = routed.respond](const config::ChangeReply &reply) { respond(changeResponse(reply)); });
}

void ConfigHandlers::respondCurrent(const RoutedRequest &routed)
{
    const auto configuration = this->config->current();
    const nlohmann::json body = {{"revision", configuration->revision}, {"register", configuration->registerText}, {"rules", configuration->rulesText}};
    routed.respond({StatusOk, "application/json", http::jsonText(body), false});
}

void ConfigHandlers::respondStatus(const RoutedRequest &routed)
{
    this->config->status([respond = routed.respond](const std::vector<config::VmRevision> &vms) { respond(statusResponse(vms)); });
}

} // namespace cranberryreel::entry
