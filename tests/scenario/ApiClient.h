#pragma once

#include "scenario/Script.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cranberryreel::scenario
{

/// The response to one HTTP call; `status` is 0 when no complete response arrived.
struct ApiReply {
    long status = 0;
    bool connected = true; ///< False when no connection was established, so nothing was sent.
    std::string body;

    /// Returns the body as a JSON object; empty when the body is none.
    nlohmann::json json() const;
    int code() const; ///< Returns the result code in the body, or -1.
};

/// Makes one blocking HTTP call on a new connection. May be called from any thread.
ApiReply callApi(const std::string &method, const std::string &url, const std::string &key, const std::string &body, Milliseconds limit);

} // namespace cranberryreel::scenario
