#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::http
{

/// One HTTP answer. The body is sent piece by piece from this one copy, as fast as the reader takes it.
struct Response {
    unsigned int status = 200;
    std::string contentType = "application/json";
    std::string body;
    bool closeConnection = false; ///< True: the connection ends after this answer.
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Besides the content type.
};

/// Takes the answer to one request, once, on any thread; later calls are ignored. Dropped unused, the caller gets code Internal.
using Responder = std::function<void(Response)>;

/// The HTTP status that goes with a result code.
unsigned int httpStatus(base::ResultCode code);

/// {code, code_name, reason} with the matching HTTP status.
Response errorResponse(base::ResultCode code, const std::string &reason);

} // namespace cranberryreel::http
