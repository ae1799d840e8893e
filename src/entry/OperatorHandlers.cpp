#include "entry/OperatorHandlers.h"

#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"

namespace cranberryreel::entry
{

namespace
{

using base::ResultCode;

constexpr unsigned int StatusOk = 200;
constexpr const char *ViewUnavailableReason = "The view is not available; the result code gives the cause.";
constexpr const char *UnknownWorkReason = "No work has this id.";

/// Creates a callback that answers with the JSON text, or with an error whose reason is the text.
TextDone textResponder(const http::Responder &respond)
{
    return [respond](ResultCode code, std::string text) {
        if (code == ResultCode::Ok) {
            respond({StatusOk, "application/json", std::move(text), false});
        } else {
            respond(http::errorResponse(code, text.empty() ? ViewUnavailableReason : text));
        }
    };
}

} // namespace

OperatorHandlers::OperatorHandlers(const EntryOptions &entryOptions, std::shared_ptr<Dispatcher> workDispatcher)
    : options(entryOptions)
    , dispatcher(std::move(workDispatcher))
{
}

void OperatorHandlers::addRoutes(Router &router)
{
    for (const char *viewName : {"upstreams", "jobs", "zones"}) {
        router.add({"GET", std::string("/v1/ops/") + viewName, Access::Operator, [this, viewName](const RoutedRequest &routed) {
                        this->respondView(routed, viewName);
                    }});
    }
    router.add({"GET", "/v1/ops/shares", Access::Partner, [this](const RoutedRequest &routed) { this->respondView(routed, "shares"); }});
    router.add({"GET", "/v1/ops/explain/ID", Access::Partner, [this](const RoutedRequest &routed) { this->explain(routed); }});
    router.add({"GET", "/v1/ops/spans/ID", Access::Operator, [this](const RoutedRequest &routed) { this->respondSpans(routed); }});
    router.add({"POST", "/v1/ops/members/ID", Access::Operator, [this](const RoutedRequest &routed) { this->changeMembers(routed); }});
    router.add({"POST", "/v1/ops/drain/ID", Access::Operator, [this](const RoutedRequest &routed) { this->drain(routed); }});
}

void OperatorHandlers::respondView(const RoutedRequest &routed, const std::string &viewName)
{
    this->dispatcher->view(viewName, routed.request->parameter("filter"), textResponder(routed.respond));
}

void OperatorHandlers::explain(const RoutedRequest &routed)
{
    if (routed.identity.isOperator) {
        this->dispatcher->view("explain", routed.id, textResponder(routed.respond));
        return;
    }
    const auto done = [routed, workDispatcher = this->dispatcher](const DispatchReply &reply) {
        if (reply.code != ResultCode::Ok) {
            routed.respond(http::errorResponse(reply.code, reply.reason));
        } else if (!routed.identity.mayAccess(reply.status.partner)) {
            routed.respond(http::errorResponse(ResultCode::NotFound, UnknownWorkReason));
        } else {
            workDispatcher->view("explain", routed.id, textResponder(routed.respond));
        }
    };
    this->dispatcher->lookup(routed.id, std::chrono::milliseconds(0), routed.request->traceparent, done);
}

void OperatorHandlers::respondSpans(const RoutedRequest &routed)
{
    const std::string text = this->options.spans ? this->options.spans(routed.id) : std::string();
    if (text.empty()) {
        throw base::Error(ResultCode::NotFound, "This VM has no spans of this trace or work; ask the other VMs.");
    }
    routed.respond({StatusOk, "application/json", text, false});
}

void OperatorHandlers::drain(const RoutedRequest &routed)
{
    const nlohmann::json json = http::parseJson(routed.request->body);
    http::JsonReader reader(json);
    const bool draining = reader.flag("draining");
    reader.rejectUnknownFields();
    this->dispatcher->drain(routed.id, draining, textResponder(routed.respond));
}

void OperatorHandlers::changeMembers(const RoutedRequest &routed)
{
    constexpr std::size_t MaxMembers = 15;
    constexpr std::size_t MaxNameBytes = 256;
    const nlohmann::json json = http::parseJson(routed.request->body);
    http::JsonReader reader(json);
    const std::vector<std::string> members = reader.texts("members", MaxMembers, MaxNameBytes);
    const std::string witness = reader.textOr("witness", "", MaxNameBytes);
    reader.rejectUnknownFields();
    if (members.empty()) {
        reader.throwOutOfRange("members", "must name at least one VM");
    }
    this->dispatcher->changeMembers(routed.id, members, witness, textResponder(routed.respond));
}

} // namespace cranberryreel::entry
