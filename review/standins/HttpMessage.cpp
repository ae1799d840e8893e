#include "HttpMessage.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>

#include <sys/socket.h>

namespace cranberryreel::review
{

namespace
{

constexpr std::size_t ReadBytes = 16384;
constexpr const char *EndOfHeaders = "\r\n\r\n";

bool readMore(int socket, std::string &buffer)
{
    std::array<char, ReadBytes> bytes;
    const ssize_t count = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

HttpMessage parseHead(const std::string &head)
{
    HttpMessage message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, message.startLine);
    if (!message.startLine.empty() && message.startLine.back() == '\r') {
        message.startLine.pop_back();
    }
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of(" \r") + 1);
        message.headers[name] = value;
    }
    return message;
}

} // namespace

std::optional<HttpMessage> readMessage(int socket, std::string &buffer)
{
    std::size_t end = std::string::npos;
    while ((end = buffer.find(EndOfHeaders)) == std::string::npos) {
        if (!readMore(socket, buffer)) {
            return std::nullopt;
        }
    }
    HttpMessage message = parseHead(buffer.substr(0, end + 2));
    buffer.erase(0, end + 4);
    const auto length = message.headers.find("content-length");
    const std::size_t bytes = length == message.headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
    while (buffer.size() < bytes) {
        if (!readMore(socket, buffer)) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(0, bytes);
    buffer.erase(0, bytes);
    return message;
}

bool writeAll(int socket, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace cranberryreel::review
