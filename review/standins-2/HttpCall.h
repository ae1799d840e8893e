#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::review
{

/// What came back for a call; status 0 if there was no whole response in time.
struct HttpAnswer {
    long status = 0;
    std::string body;
};

/// A call on a connection of its own.
struct HttpCall {
    std::string method;
    std::string url;
    std::string body;
    std::vector<std::string> headers;
    std::chrono::milliseconds limit{1000};

    HttpAnswer send() const;
};

} // namespace cranberryreel::review
