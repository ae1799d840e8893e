#include "http/RawResponse.h"

#include <fmt/format.h>

#include <sys/socket.h>

namespace cranberryreel::http
{

void sendRawResponse(int socket, const Response &response)
{
    const std::string text = fmt::format("HTTP/1.1 {} Refused\r\nConnection: close\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
                                         response.status,
                                         response.contentType,
                                         response.body.size(),
                                         response.body);
    // A peer whose socket buffer is full is dropped without the response.
    static_cast<void>(::send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

} // namespace cranberryreel::http
