#include "http/ResponseWriter.h"

#include <microhttpd.h>

#include <memory>
#include <string>
#include <utility>

namespace cranberryreel::http
{

namespace
{

constexpr std::size_t MaxUnbudgetedBytes = 64U << 10U; ///< Responses up to this size do not count against the budget.

/// The body of a response being written. Its destructor returns the size to the budget.
struct ResponseBody {
    ~ResponseBody()
    {
        if (this->usedBytes != nullptr) {
            *this->usedBytes -= this->text.size();
        }
    }

    std::string text;
    std::atomic<std::size_t> *usedBytes = nullptr;
};

void deleteBody(void *body)
{
    delete static_cast<ResponseBody *>(body);
}

MHD_Result queueResponse(MHD_Connection *connection, Response response, std::atomic<std::size_t> *usedBytes = nullptr)
{
    auto body = std::make_unique<ResponseBody>();
    body->text = std::move(response.body);
    body->usedBytes = usedBytes;
    ResponseBody *raw = body.get();
    MHD_Response *answer = MHD_create_response_from_buffer_with_free_callback_cls(raw->text.size(), raw->text.data(), &deleteBody, raw);
    if (answer == nullptr) {
        return MHD_NO;
    }
    static_cast<void>(body.release());
    MHD_add_response_header(answer, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
    for (const auto &[name, value] : response.headers) {
        MHD_add_response_header(answer, name.c_str(), value.c_str());
    }
    if (response.closeConnection) {
        MHD_add_response_header(answer, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, response.status, answer);
    MHD_destroy_response(answer);
    return result;
}

} // namespace

bool ResponseWriter::write(MHD_Connection *connection, Response response)
{
    const std::size_t size = response.body.size();
    if (size <= MaxUnbudgetedBytes) {
        return queueResponse(connection, std::move(response)) == MHD_YES;
    }
    const std::size_t usedBefore = this->used.fetch_add(size);
    if (usedBefore > 0 && usedBefore + size > this->budget) {
        this->used -= size;
        const char *const reason = "This VM holds too many large answers at the moment; fetch this answer by its id later.";
        return queueResponse(connection, errorResponse(base::ResultCode::AnswerDeferred, reason)) == MHD_YES;
    }
    return queueResponse(connection, std::move(response), &this->used) == MHD_YES;
}

} // namespace cranberryreel::http
