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
constexpr const char *NoSuchWork = "No work has this id; records expire after the time that docs/API.md states.";

using SharedSpan = std::shared_ptr<observe::Span>;

SharedSpan beginSpan(const char *hop, const Call &call)
{
    auto span = std::make_shared<observe::Span>(hop, call.request->traceparent);
    if (!call.identity.partner.empty()) {
        span->set("partner", call.identity.partner);
    }
    return span;
}

/// Ends the span and answers with the status, or with the error where there is none.
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

void respondAnswer(const http::Responder &respond, DispatchReply reply)
{
    if (reply.status.state == model::JobState::Done) {
        respond({StatusOk, "application/octet-stream", std::move(reply.status.answer), false});
    } else if (model::isFinal(reply.status.state) && reply.status.code != ResultCode::Ok) {
        respond(http::errorResponse(reply.status.code, reply.status.reason));
    } else {
        respond(http::errorResponse(ResultCode::NotFound, "The work has no answer yet; ask again, with wait_ms."));
    }
}

} // namespace

/// One lookup, answered by whichever reply comes first.
struct WorkHandlers::Lookup {
    Lookup(Call lookupCall, SharedSpan lookupSpan, Next nextStep)
        : call(std::move(lookupCall))
        , span(std::move(lookupSpan))
        , next(std::move(nextStep))
    {
    }

    void take(DispatchReply reply)
    {
        if (this->answered.exchange(true)) {
            return;
        }
        if (reply.code != ResultCode::Ok) {
            this->span->end(reply.code);
            this->call.respond(http::errorResponse(reply.code, reply.reason));
        } else if (!this->call.identity.maySee(reply.status.partner)) {
            this->span->end(ResultCode::NotFound);
            this->call.respond(http::errorResponse(ResultCode::NotFound, NoSuchWork));
        } else {
            this->next(std::move(reply), this->span);
        }
    }

    const Call call;
    const SharedSpan span;
    const Next next;
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
    router.add({"POST", "/v1/requests", Access::Partner, [this](const Call &call) { this->submitRequest(call); }});
    router.add({"POST", "/v1/jobs", Access::Partner, [this](const Call &call) { this->submitJob(call); }});
    router.add({"GET", "/v1/submissions/ID", Access::Partner, [this](const Call &call) { this->lookup(call); }});
    router.add({"DELETE", "/v1/submissions/ID", Access::Partner, [this](const Call &call) { this->cancel(call); }});
    router.add({"GET", "/v1/submissions/ID/answer", Access::Partner, [this](const Call &call) { this->answer(call); }});
}

void WorkHandlers::refuseNewWork()
{
    this->refusing = true;
    this->waits->answerAll();
}

void WorkHandlers::answerOpenAsUnknown()
{
    this->open->answerUnknown();
}

void WorkHandlers::submitRequest(const Call &call)
{
    this->submit(call, requestFromJson(call.request->body), "entry.request", StatusOk);
}

void WorkHandlers::submitJob(const Call &call)
{
    this->submit(call, jobFromJson(call.request->body), "entry.job", StatusAccepted);
}

void WorkHandlers::submit(const Call &call, model::JobSpec spec, const char *hop, unsigned int status)
{
    if (call.identity.partner.empty()) {
        throw base::Error(ResultCode::Forbidden, "The operators' key belongs to no partner; submit work with a partner's key.");
    }
    if (this->refusing) {
        throw base::Error(ResultCode::ShuttingDown, "Not run: this VM is stopping; send the request to another.");
    }
    spec.partner = call.identity.partner;
    spec.id = HomeZone::newId(this->homeZone.of(spec.partner, spec.key));
    const SharedSpan span = beginSpan(hop, call);
    const std::string traceparent = span->traceparent();
    this->open->add(spec, span->traceId(), call.respond);
    const auto done = [respond = call.respond, waiting = this->open, id = spec.id, span, status](const DispatchReply &reply) {
        waiting->remove(id);
        respondStatus(respond, reply, *span, status);
    };
    this->dispatcher->submit(std::move(spec), traceparent, done);
}

std::chrono::milliseconds WorkHandlers::waitOf(const Call &call) const
{
    const std::string text = call.request->parameter("wait_ms");
    if (text.empty()) {
        return std::chrono::milliseconds(0);
    }
    std::int64_t wait = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), wait);
    if (error == std::errc::invalid_argument || end != text.data() + text.size()) {
        throw base::Error(ResultCode::FieldWrongType, "wait_ms must be a whole number.");
    }
    if (error != std::errc() || wait < 0 || wait > this->options.longestWait.count()) {
        throw base::Error(ResultCode::FieldOutOfRange, fmt::format("wait_ms must be 0 to {}.", this->options.longestWait.count()));
    }
    return std::chrono::milliseconds(wait);
}

void WorkHandlers::withOwnWork(const Call &call, std::chrono::milliseconds wait, const char *hop, Next next)
{
    if (HomeZone::zoneIn(call.id).empty()) {
        throw base::Error(ResultCode::NotFound, NoSuchWork);
    }
    const auto lookup = std::make_shared<Lookup>(call, beginSpan(hop, call), std::move(next));
    lookup->span->set("work.id", call.id);
    const std::string traceparent = lookup->span->traceparent();
    if (wait.count() == 0 || this->refusing) {
        this->dispatcher->lookup(call.id, std::chrono::milliseconds(0), traceparent, [lookup](DispatchReply reply) { lookup->take(std::move(reply)); });
        return;
    }
    const std::uint64_t number = this->waits->add([lookup, traceparent, target = this->dispatcher] {
        target->lookup(lookup->call.id, std::chrono::milliseconds(0), traceparent, [lookup](DispatchReply reply) { lookup->take(std::move(reply)); });
    });
    this->dispatcher->lookup(call.id, wait, traceparent, [lookup, number, open = this->waits](DispatchReply reply) {
        open->remove(number);
        lookup->take(std::move(reply));
    });
}

void WorkHandlers::lookup(const Call &call)
{
    this->withOwnWork(call, this->waitOf(call), "entry.lookup", [respond = call.respond](const DispatchReply &reply, const SharedSpan &span) {
        respondStatus(respond, reply, *span, StatusOk);
    });
}

void WorkHandlers::cancel(const Call &call)
{
    const auto next = [id = call.id, respond = call.respond, target = this->dispatcher](const DispatchReply &, const SharedSpan &span) {
        target->cancel(id, span->traceparent(), [respond, span](const DispatchReply &reply) { respondStatus(respond, reply, *span, StatusOk); });
    };
    this->withOwnWork(call, std::chrono::milliseconds(0), "entry.cancel", next);
}

void WorkHandlers::answer(const Call &call)
{
    this->withOwnWork(call, this->waitOf(call), "entry.answer", [respond = call.respond](DispatchReply reply, const SharedSpan &span) {
        span->end(reply.status.code);
        respondAnswer(respond, std::move(reply));
    });
}

} // namespace cranberryreel::entry
