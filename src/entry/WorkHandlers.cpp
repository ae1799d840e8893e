#include "entry/WorkHandlers.h"

#include "cranberryreel/base/Error.h"
#include "entry/StatusCodec.h"
#include "entry/SubmissionCodec.h"

#include <fmt/format.h>

#include <charconv>

namespace cranberryreel::entry
{

namespace
{

using base::ResultCode;

constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusAccepted = 202;
constexpr const char *UnknownWorkReason = "No work has this id; records expire after the time given in docs/API.md.";

using SharedSpan = std::shared_ptr<observe::Span>;

SharedSpan beginSpan(const char *spanName, const RoutedRequest &routed)
{
    auto span = std::make_shared<observe::Span>(spanName, routed.request->traceparent);
    if (!routed.identity.partner.empty()) {
        span->set("partner", routed.identity.partner);
    }
    return span;
}

/// Ends the span and answers with the status, or with an error if the code of the reply is not Ok.
void respondStatus(const http::Responder &respond, const DispatchReply &reply, observe::Span &span, unsigned int status)
{
    span.set("work.id", reply.status.id);
    const std::string traceId = span.traceId();
    span.end(reply.code == ResultCode::Ok ? reply.status.code : reply.code);
    if (reply.code != ResultCode::Ok) {
        respond(http::errorResponse(reply.code, reply.reason));
        return;
    }
    respond({status, "application/json", statusToJson(reply.status, traceId), false});
}

void sendAnswer(const http::Responder &respond, DispatchReply reply)
{
    if (reply.status.state == model::JobState::Done) {
        respond({StatusOk, "application/octet-stream", std::move(reply.status.answer), false});
    } else if (model::isFinal(reply.status.state) && reply.status.code != ResultCode::Ok) {
        respond(http::errorResponse(reply.status.code, reply.status.reason));
    } else {
        respond(http::errorResponse(ResultCode::NotFound, "The work has no answer yet; repeat the request with wait_ms."));
    }
}

} // namespace

/// One lookup, answered by the first reply that arrives: the one that waits for a final state, or the immediate one sent when the VM stops.
struct WorkHandlers::Lookup {
    Lookup(RoutedRequest lookupRequest, SharedSpan lookupSpan, Continuation nextStep)
        : routed(std::move(lookupRequest))
        , span(std::move(lookupSpan))
        , next(std::move(nextStep))
    {
    }

    void complete(DispatchReply reply)
    {
        if (this->answered.exchange(true)) {
            return;
        }
        if (reply.code != ResultCode::Ok) {
            this->span->end(reply.code);
            this->routed.respond(http::errorResponse(reply.code, reply.reason));
        } else if (!this->routed.identity.mayAccess(reply.status.partner)) {
            this->span->end(ResultCode::NotFound);
            this->routed.respond(http::errorResponse(ResultCode::NotFound, UnknownWorkReason));
        } else {
            this->next(std::move(reply), this->span);
        }
    }

    const RoutedRequest routed;
    const SharedSpan span;
    const Continuation next;
    std::atomic<bool> answered{false};
};

WorkHandlers::WorkHandlers(const EntryOptions &entryOptions, std::shared_ptr<Dispatcher> workDispatcher)
    : options(entryOptions)
    , homeZone(entryOptions.zone, entryOptions.zones)
    , dispatcher(std::move(workDispatcher))
{
}

void WorkHandlers::addRoutes(Router &router)
{
    router.add({"POST", "/v1/requests", Access::Partner, [this](const RoutedRequest &routed) { this->submitRequest(routed); }});
    router.add({"POST", "/v1/jobs", Access::Partner, [this](const RoutedRequest &routed) { this->submitJob(routed); }});
    router.add({"GET", "/v1/submissions/ID", Access::Partner, [this](const RoutedRequest &routed) { this->lookup(routed); }});
    router.add({"DELETE", "/v1/submissions/ID", Access::Partner, [this](const RoutedRequest &routed) { this->cancel(routed); }});
    router.add({"GET", "/v1/submissions/ID/answer", Access::Partner, [this](const RoutedRequest &routed) { this->respondWithAnswer(routed); }});
}

void WorkHandlers::refuseNewWork()
{
    this->refusingNewWork = true;
    this->waitingLookups->answerAll();
}

void WorkHandlers::answerOpenSubmissionsAsUnknown()
{
    this->openSubmissions->answerAllAsUnknown();
}

void WorkHandlers::submitRequest(const RoutedRequest &routed)
{
    this->submit(routed, requestFromJson(routed.request->body), "entry.request", StatusOk);
}

void WorkHandlers::submitJob(const RoutedRequest &routed)
{
    this->submit(routed, jobFromJson(routed.request->body), "entry.job", StatusAccepted);
}

void WorkHandlers::submit(const RoutedRequest &routed, model::JobSpec spec, const char *spanName, unsigned int status)
{
    if (routed.identity.partner.empty()) {
        throw base::Error(ResultCode::Forbidden, "The operators' key belongs to no partner; submit work with a partner's key.");
    }
    if (this->refusingNewWork) {
        throw base::Error(ResultCode::ShuttingDown, "Not run: this VM is stopping; send the request to another VM.");
    }
    spec.partner = routed.identity.partner;
    spec.id = HomeZone::newJobId(this->homeZone.zoneFor(spec.partner, spec.key));
    const SharedSpan span = beginSpan(spanName, routed);
    const std::string traceparent = span->traceparent();
    this->openSubmissions->add(spec, span->traceId(), routed.respond);
    const auto done = [respond = routed.respond, submissions = this->openSubmissions, id = spec.id, span, status](const DispatchReply &reply) {
        submissions->remove(id);
        respondStatus(respond, reply, *span, status);
    };
    this->dispatcher->submit(std::move(spec), traceparent, done);
}

std::chrono::milliseconds WorkHandlers::waitParameter(const RoutedRequest &routed) const
{
    const std::string text = routed.request->parameter("wait_ms");
    if (text.empty()) {
        return std::chrono::milliseconds(0);
    }
    std::int64_t wait = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), wait);
    if (error == std::errc::invalid_argument || end != text.data() + text.size()) {
        throw base::Error(ResultCode::FieldWrongType, "wait_ms must be an integer.");
    }
    if (error != std::errc() || wait < 0 || wait > this->options.maxWait.count()) {
        throw base::Error(ResultCode::FieldOutOfRange, fmt::format("wait_ms must be 0 to {}.", this->options.maxWait.count()));
    }
    return std::chrono::milliseconds(wait);
}

void WorkHandlers::lookUpAccessible(const RoutedRequest &routed, std::chrono::milliseconds wait, const char *spanName, Continuation next)
{
    if (HomeZone::zoneFromId(routed.id).empty()) {
        throw base::Error(ResultCode::NotFound, UnknownWorkReason);
    }
    const auto lookup = std::make_shared<Lookup>(routed, beginSpan(spanName, routed), std::move(next));
    lookup->span->set("work.id", routed.id);
    const std::string traceparent = lookup->span->traceparent();
    if (wait.count() == 0 || this->refusingNewWork) {
        this->dispatcher->lookup(routed.id, std::chrono::milliseconds(0), traceparent, [lookup](DispatchReply reply) { lookup->complete(std::move(reply)); });
        return;
    }
    const std::uint64_t number = this->waitingLookups->add([lookup, traceparent, workDispatcher = this->dispatcher] {
        workDispatcher->lookup(
            lookup->routed.id, std::chrono::milliseconds(0), traceparent, [lookup](DispatchReply reply) { lookup->complete(std::move(reply)); });
    });
    this->dispatcher->lookup(routed.id, wait, traceparent, [lookup, number, lookups = this->waitingLookups](DispatchReply reply) {
        lookups->remove(number);
        lookup->complete(std::move(reply));
    });
}

void WorkHandlers::lookup(const RoutedRequest &routed)
{
    this->lookUpAccessible(routed, this->waitParameter(routed), "entry.lookup", [respond = routed.respond](const DispatchReply &reply, const SharedSpan &span) {
        respondStatus(respond, reply, *span, StatusOk);
    });
}

void WorkHandlers::cancel(const RoutedRequest &routed)
{
    const auto next = [id = routed.id, respond = routed.respond, workDispatcher = this->dispatcher](const DispatchReply &, const SharedSpan &span) {
        workDispatcher->cancel(id, span->traceparent(), [respond, span](const DispatchReply &reply) { respondStatus(respond, reply, *span, StatusOk); });
    };
    this->lookUpAccessible(routed, std::chrono::milliseconds(0), "entry.cancel", next);
}

void WorkHandlers::respondWithAnswer(const RoutedRequest &routed)
{
    this->lookUpAccessible(routed, this->waitParameter(routed), "entry.answer", [respond = routed.respond](DispatchReply reply, const SharedSpan &span) {
        span->end(reply.status.code);
        sendAnswer(respond, std::move(reply));
    });
}

} // namespace cranberryreel::entry
