#pragma once

#include <cstdint>
#include <string>

#include <netinet/in.h>

namespace cranberryreel::link
{

/// An IP number and a TCP port.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    /// Reads "10.0.0.7:7400". Throws base::Error(SettingsBadValue).
    static Endpoint parse(const std::string &text);

    /// The same for the socket calls. Throws base::Error(SettingsBadValue) when `ip` is no IPv4 number.
    sockaddr_in socketAddress() const;
};

} // namespace cranberryreel::link
