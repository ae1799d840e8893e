#pragma once

#include <functional>
#include <string>

struct MHD_Daemon;

namespace cranberryreel::review
{

/// A request as a stand-in sees it.
struct ServedRequest {
    std::string path;
    std::string expectedInstance; ///< Header Expect-Instance.
    std::string body;
};

/// The answer to a request; a status of 0 breaks the connection without an answer.
struct ServedAnswer {
    unsigned int status = 200;
    std::string body;
};

/// An HTTP server on a free port of 127.0.0.1. Its handler is called by one thread for each connection and may block.
class LoopbackServer
{
public:
    using Handler = std::function<ServedAnswer(const ServedRequest &request)>;

    /// Throws std::runtime_error if it cannot listen.
    explicit LoopbackServer(Handler requestHandler);
    ~LoopbackServer();
    LoopbackServer(const LoopbackServer &) = delete;
    LoopbackServer &operator=(const LoopbackServer &) = delete;

    /// "IP:PORT"
    const std::string &address() const
    {
        return this->ownAddress;
    }

    ServedAnswer handle(const ServedRequest &request) const
    {
        return this->handler(request);
    }

    /// Refuses connections from then on. Waits for the handlers that run.
    void stop();

private:
    const Handler handler;
    MHD_Daemon *daemon = nullptr;
    std::string ownAddress;
};

} // namespace cranberryreel::review
