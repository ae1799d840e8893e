#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::settings
{

/// An IP address and a port. An empty host means that no address is set.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    bool isSet() const
    {
        return !this->host.empty();
    }

    /// Returns "host:port", with brackets around an IPv6 address; empty if not set.
    std::string toString() const;

    /// Parses "host:port"; nullopt if the host is not an IP address or the port is invalid.
    static std::optional<SocketAddress> parse(std::string_view text);

    friend bool operator==(const SocketAddress &left, const SocketAddress &right)
    {
        return left.host == right.host && left.port == right.port;
    }
};

} // namespace cranberryreel::settings
