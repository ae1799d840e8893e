#pragma once

#include <map>
#include <optional>
#include <string>

namespace cranberryreel::review
{

/// A request or response of HTTP/1.1. Header names are in lower case.
struct HttpMessage {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads one message from the socket; `buffer` keeps bytes of the next one. Nothing when the peer closed the connection or the socket's timeout passed.
std::optional<HttpMessage> readMessage(int socket, std::string &buffer);

/// Writes all bytes. Returns false when the connection is closed.
bool writeAll(int socket, const std::string &bytes);

} // namespace cranberryreel::review
