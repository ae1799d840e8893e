#pragma once

#include "http/Server.h"

#include <memory>
#include <string>

namespace cranberryreel::http
{

/// Creates a Server. options() replaces an address set by listen(). The handler is required.
class ServerBuilder
{
public:
    ServerBuilder &options(ServerOptions value)
    {
        this->serverOptions = std::move(value);
        return *this;
    }

    ServerBuilder &listen(const std::string &address, std::uint16_t port)
    {
        this->serverOptions.address = address;
        this->serverOptions.port = port;
        return *this;
    }

    ServerBuilder &handler(Handler value)
    {
        this->requestHandler = std::move(value);
        return *this;
    }

    /// The response to requests that are still in flight when Server::stop() reaches its limit.
    ServerBuilder &unfinished(Response value)
    {
        this->unfinishedResponse = std::move(value);
        return *this;
    }

    std::unique_ptr<Server> build()
    {
        return std::make_unique<Server>(this->serverOptions, this->requestHandler, this->unfinishedResponse);
    }

private:
    ServerOptions serverOptions;
    Handler requestHandler;
    Response unfinishedResponse = errorResponse(base::ResultCode::ShuttingDown, "The server is stopping.");
};

} // namespace cranberryreel::http
