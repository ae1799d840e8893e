#pragma once

#include <chrono>
#include <map>
#include <string>

namespace cranberryreel::review
{

/// A call of a client, an operator or a runner. `address` is IP:PORT.
struct HttpCall {
    std::string address;
    std::string method;
    std::string path;
    std::string body;
    std::string host;
    std::chrono::milliseconds limit{3000}; ///< How long the caller really waits.
    std::chrono::milliseconds deadline{3000}; ///< How long it says that it waits.
};

/// The answer to an HttpCall; status 0 means that there was none.
struct HttpAnswer {
    int status = 0;
    std::string body;
};

/// Sends the call on a new connection and waits for the answer.
HttpAnswer send(const HttpCall &call);

} // namespace cranberryreel::review
