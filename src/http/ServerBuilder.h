#pragma once

#include "http/Server.h"

#include <memory>
#include <string>

namespace cranberryreel::http
{

/// Puts a Server together: options first, then the handler.
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

    /// What requests still open at the end of stop() are answered.
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
