#pragma once

#include <cstdint>
#include <string>

#include <netinet/in.h>

namespace cranberryreel::link
{

/// An IPv4 address and a TCP port.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    /// Parses text such as "10.0.0.7:7400". Throws base::Error(SettingsBadValue).
    static Endpoint parse(const std::string &text);

    /// Converts to the form of the socket calls. Throws base::Error(SettingsBadValue) when `ip` is not a numeric IPv4 address.
    sockaddr_in socketAddress() const;
};

} // namespace cranberryreel::link
