#include "link/Endpoint.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/numbers.h>

#include <fmt/format.h>

#include <arpa/inet.h>

namespace cranberryreel::link
{

Endpoint Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX) {
        throw base::Error(base::ResultCode::SettingsBadValue, fmt::format("'{}' is not an address; expected IP:PORT.", text));
    }
    Endpoint endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
    endpoint.socketAddress();
    return endpoint;
}

sockaddr_in Endpoint::socketAddress() const
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->port);
    if (inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr) != 1) {
        throw base::Error(base::ResultCode::SettingsBadValue, fmt::format("'{}' is not an IPv4 address.", this->ip));
    }
    return address;
}

} // namespace cranberryreel::link
