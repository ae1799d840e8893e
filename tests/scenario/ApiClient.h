#pragma once

#include "scenario/Script.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cranberryreel::scenario
{

/// What came back from one HTTP call; `status` is 0 where nothing came back whole.
struct ApiReply {
    long status = 0;
    bool reached = true; ///< False where no connection came about, so that nothing was sent.
    std::string body;

    /// The body as an object; empty when it is none.
    nlohmann::json json() const;
    int code() const; ///< The result code in the body, or -1.
};

/// One blocking HTTP call on a connection of its own. Any thread.
ApiReply callApi(const std::string &method, const std::string &url, const std::string &key, const std::string &body, Milliseconds limit);

} // namespace cranberryreel::scenario
