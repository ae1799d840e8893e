#include "HttpClient.h"

#include "HttpMessage.h"
#include "Sockets.h"

#include <cstdlib>

#include <unistd.h>

namespace cranberryreel::review
{

namespace
{

constexpr std::size_t StatusOffset = 9; ///< Position of the status in "HTTP/1.1 200 OK".

} // namespace

HttpAnswer send(const HttpCall &call)
{
    HttpAnswer answer;
    const int socket = connectTo(call.address, call.limit);
    if (socket < 0) {
        return answer;
    }
    std::string bytes = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + (call.host.empty() ? call.address : call.host) + "\r\n";
    bytes += "Content-Type: application/json\r\nDeadline-Ms: " + std::to_string(call.deadline.count()) + "\r\nConnection: close\r\n";
    bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    std::string buffer;
    if (writeAll(socket, bytes)) {
        if (const auto message = readMessage(socket, buffer); message && message->startLine.size() > StatusOffset) {
            answer.status = std::atoi(message->startLine.c_str() + StatusOffset); // NOLINT(bugprone-unchecked-string-to-number-conversion)
            answer.body = message->body;
        }
    }
    ::close(socket);
    return answer;
}

} // namespace cranberryreel::review
