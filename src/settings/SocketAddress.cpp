#include "settings/SocketAddress.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <arpa/inet.h>

#include <limits>

namespace cranberryreel::settings
{

namespace
{

bool isIpAddress(const std::string &host)
{
    in6_addr parsed{};
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1 || inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
}

} // namespace

std::string SocketAddress::toString() const
{
    if (!this->isSet()) {
        return {};
    }
    return this->host.find(':') == std::string::npos ? fmt::format("{}:{}", this->host, this->port) : fmt::format("[{}]:{}", this->host, this->port);
}

std::optional<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint32_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    if (!absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &port) || port > std::numeric_limits<std::uint16_t>::max() || !isIpAddress(host)) {
        return std::nullopt;
    }
    return SocketAddress{host, static_cast<std::uint16_t>(port)};
}

} // namespace cranberryreel::settings
