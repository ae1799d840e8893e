#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::http
{

/// One HTTP response. The body is sent in parts from this one copy, as fast as the peer reads.
struct Response {
    unsigned int status = 200;
    std::string contentType = "application/json";
    std::string body;
    bool closeConnection = false; ///< True: closes the connection after this response.
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< In addition to the content type.
};

/// Sends the response to one request, on any thread; calls after the first are ignored. If all copies are destroyed unused, the caller gets the error Internal.
using Responder = std::function<void(Response)>;

/// The HTTP status for a result code.
unsigned int httpStatus(base::ResultCode code);

/// Creates a response with the body {code, code_name, reason} and the HTTP status for the code.
Response errorResponse(base::ResultCode code, const std::string &reason);

} // namespace cranberryreel::http
