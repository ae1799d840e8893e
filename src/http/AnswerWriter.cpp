#include "http/AnswerWriter.h"

#include <microhttpd.h>

#include <memory>
#include <string>
#include <utility>

namespace cranberryreel::http
{

namespace
{

constexpr std::size_t SmallAnswerBytes = 64U << 10U; ///< Up to here an answer takes nothing from the budget.

/// The body of an answer being written; gives its share of the budget back at the end.
struct AnswerBody {
    ~AnswerBody()
    {
        if (this->budget != nullptr) {
            *this->budget -= this->text.size();
        }
    }

    std::string text;
    std::atomic<std::size_t> *budget = nullptr;
};

void deleteBody(void *body)
{
    delete static_cast<AnswerBody *>(body);
}

MHD_Result queue(MHD_Connection *connection, Response response, std::atomic<std::size_t> *budget = nullptr)
{
    auto body = std::make_unique<AnswerBody>();
    body->text = std::move(response.body);
    body->budget = budget;
    AnswerBody *raw = body.get();
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

bool AnswerWriter::write(MHD_Connection *connection, Response response)
{
    const std::size_t size = response.body.size();
    if (size <= SmallAnswerBytes) {
        return queue(connection, std::move(response)) == MHD_YES;
    }
    const std::size_t before = this->used.fetch_add(size);
    if (before > 0 && before + size > this->budget) {
        this->used -= size;
        const char *const reason = "This VM holds as many answers as it may; fetch this one by its id later.";
        return queue(connection, errorResponse(base::ResultCode::AnswerDeferred, reason)) == MHD_YES;
    }
    return queue(connection, std::move(response), &this->used) == MHD_YES;
}

} // namespace cranberryreel::http
