#include "support/FreePort.h"

#include "link/Socket.h"

namespace cranberryreel::support
{

std::uint16_t freePort()
{
    return link::Socket::listen({"127.0.0.1", 0}).localPort();
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace cranberryreel::support
