#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::settings
{

/// An IP number and a port. An empty host means that none is set.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    bool isSet() const
    {
        return !this->host.empty();
    }

    /// "host:port", with brackets round an IPv6 number.
    std::string toString() const;

    /// Reads "host:port"; empty when the host is no IP number or the port is none.
    static std::optional<SocketAddress> parse(std::string_view text);

    friend bool operator==(const SocketAddress &left, const SocketAddress &right)
    {
        return left.host == right.host && left.port == right.port;
    }
};

} // namespace cranberryreel::settings
