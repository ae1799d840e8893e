#include "entry/OperatorHandlers.h"

#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"

namespace cranberryreel::entry
{

namespace
{

using base::ResultCode;

constexpr unsigned int StatusOk = 200;
constexpr const char *NoAnswer = "There is nothing to show; the code tells why.";
constexpr const char *NoSuchWork = "No work has this id.";

/// Answers with a view's JSON; in case of an error the text is its reason.
TextDone respondText(const http::Responder &respond)
{
    return [respond](ResultCode code, std::string text) {
        if (code == ResultCode::Ok) {
            respond({StatusOk, "application/json", std::move(text), false});
        } else {
            respond(http::errorResponse(code, text.empty() ? NoAnswer : text));
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
    for (const char *what : {"upstreams", "jobs", "zones"}) {
        router.add({"GET", std::string("/v1/ops/") + what, Access::Operator, [this, what](const Call &call) { this->view(call, what); }});
    }
    router.add({"GET", "/v1/ops/shares", Access::Partner, [this](const Call &call) { this->view(call, "shares"); }});
    router.add({"GET", "/v1/ops/explain/ID", Access::Partner, [this](const Call &call) { this->explain(call); }});
    router.add({"GET", "/v1/ops/spans/ID", Access::Operator, [this](const Call &call) { this->spans(call); }});
    router.add({"POST", "/v1/ops/members/ID", Access::Operator, [this](const Call &call) { this->changeMembers(call); }});
    router.add({"POST", "/v1/ops/drain/ID", Access::Operator, [this](const Call &call) { this->drain(call); }});
}

void OperatorHandlers::view(const Call &call, const std::string &what)
{
    this->dispatcher->view(what, call.request->parameter("filter"), respondText(call.respond));
}

void OperatorHandlers::explain(const Call &call)
{
    if (call.identity.isOperator) {
        this->dispatcher->view("explain", call.id, respondText(call.respond));
        return;
    }
    const auto done = [call, target = this->dispatcher](const DispatchReply &reply) {
        if (reply.code != ResultCode::Ok) {
            call.respond(http::errorResponse(reply.code, reply.reason));
        } else if (!call.identity.maySee(reply.status.partner)) {
            call.respond(http::errorResponse(ResultCode::NotFound, NoSuchWork));
        } else {
            target->view("explain", call.id, respondText(call.respond));
        }
    };
    this->dispatcher->lookup(call.id, std::chrono::milliseconds(0), call.request->traceparent, done);
}

void OperatorHandlers::spans(const Call &call)
{
    const std::string text = this->options.spans ? this->options.spans(call.id) : std::string();
    if (text.empty()) {
        throw base::Error(ResultCode::NotFound, "This VM keeps no span of that trace or work; ask the others.");
    }
    call.respond({StatusOk, "application/json", text, false});
}

void OperatorHandlers::drain(const Call &call)
{
    const nlohmann::json json = http::parseJson(call.request->body);
    http::JsonReader reader(json);
    const bool draining = reader.flag("draining");
    reader.finish();
    this->dispatcher->drain(call.id, draining, respondText(call.respond));
}

void OperatorHandlers::changeMembers(const Call &call)
{
    constexpr std::size_t MostMembers = 15;
    constexpr std::size_t LongestName = 256;
    const nlohmann::json json = http::parseJson(call.request->body);
    http::JsonReader reader(json);
    const std::vector<std::string> members = reader.texts("members", MostMembers, LongestName);
    const std::string witness = reader.textOr("witness", "", LongestName);
    reader.finish();
    if (members.empty()) {
        reader.refuse("members", "must name one VM at least");
    }
    this->dispatcher->changeMembers(call.id, members, witness, respondText(call.respond));
}

} // namespace cranberryreel::entry
