#include "http/Exchange.h"

#include <microhttpd.h>

namespace cranberryreel::http
{

namespace
{

/// Held by all copies of a responder together.
struct AnswerGuard {
    explicit AnswerGuard(std::shared_ptr<Exchange> guarded)
        : exchange(std::move(guarded))
    {
    }
    AnswerGuard(const AnswerGuard &) = delete;
    AnswerGuard &operator=(const AnswerGuard &) = delete;
    ~AnswerGuard()
    {
        this->exchange->answer(errorResponse(base::ResultCode::Internal, "The request was dropped without an answer."));
    }

    std::shared_ptr<Exchange> exchange;
};

} // namespace

Exchange::Exchange(MHD_Connection *parkedConnection, ConnectionWatch &connectionWatch)
    : watch(connectionWatch)
    , connection(parkedConnection)
{
}

void Exchange::answer(Response newResponse)
{
    absl::MutexLock lock(&this->mutex);
    if (this->answered || this->connection == nullptr) {
        return;
    }
    this->answered = true;
    this->response = std::move(newResponse);
    if (this->parked) {
        this->parked = false;
        MHD_resume_connection(this->connection);
    }
}

std::optional<Response> Exchange::takeOrPark()
{
    absl::MutexLock lock(&this->mutex);
    if (this->response) {
        std::optional<Response> taken = std::move(this->response);
        this->response.reset();
        return taken;
    }
    if (!this->parked) {
        this->parked = true;
        MHD_suspend_connection(this->connection);
    }
    return std::nullopt;
}

void Exchange::detach()
{
    absl::MutexLock lock(&this->mutex);
    this->connection = nullptr;
}

Responder Exchange::responder()
{
    return [guard = std::make_shared<AnswerGuard>(this->shared_from_this())](Response given) { guard->exchange->answer(std::move(given)); };
}

} // namespace cranberryreel::http
