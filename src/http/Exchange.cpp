#include "http/Exchange.h"

#include <microhttpd.h>

namespace cranberryreel::http
{

namespace
{

/// Shared by all copies of a responder. Its destructor, run with the last copy, answers Internal unless the request was answered before.
struct ResponderGuard {
    explicit ResponderGuard(std::shared_ptr<Exchange> guarded)
        : exchange(std::move(guarded))
    {
    }
    ResponderGuard(const ResponderGuard &) = delete;
    ResponderGuard &operator=(const ResponderGuard &) = delete;
    ~ResponderGuard()
    {
        this->exchange->setResponse(errorResponse(base::ResultCode::Internal, "The request was dropped without an answer."));
    }

    std::shared_ptr<Exchange> exchange;
};

} // namespace

Exchange::Exchange(MHD_Connection *mhdConnection, TrackedConnection &trackedConnection)
    : tracked(trackedConnection)
    , connection(mhdConnection)
{
}

void Exchange::setResponse(Response newResponse)
{
    absl::MutexLock lock(&this->mutex);
    if (this->answered || this->connection == nullptr) {
        return;
    }
    this->answered = true;
    this->response = std::move(newResponse);
    if (this->suspended) {
        this->suspended = false;
        MHD_resume_connection(this->connection);
    }
}

std::optional<Response> Exchange::takeResponseOrSuspend()
{
    absl::MutexLock lock(&this->mutex);
    if (this->response) {
        std::optional<Response> taken = std::move(this->response);
        this->response.reset();
        return taken;
    }
    if (!this->suspended) {
        this->suspended = true;
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
    return [guard = std::make_shared<ResponderGuard>(this->shared_from_this())](Response given) { guard->exchange->setResponse(std::move(given)); };
}

} // namespace cranberryreel::http
