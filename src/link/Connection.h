#pragma once

#include "link/EventLoop.h"
#include "link/FrameReader.h"
#include "link/Socket.h"

#include "cranberryreel/base/Clock.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::link
{

class Connection;

/// Receives the events of a connection. The owner is first a HalfOpenLink and later a PeerLink. All events come on the I/O thread.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;
    virtual void connected(Connection &connection) = 0; ///< A dialed connection is established.
    virtual void frameArrived(Connection &connection, std::string body) = 0;
    virtual void outputDrained(Connection &connection) = 0; ///< All output has been sent; the owner may write more.
    virtual void connectionLost(Connection &connection, const std::string &reason) = 0;
};

/// One TCP connection that carries frames. Used on the I/O thread only; owned by its ConnectionOwner.
class Connection : public IoHandler, public std::enable_shared_from_this<Connection>
{
public:
    Connection(EventLoop &eventLoop, Socket ownSocket, std::size_t frameLimitBytes, bool isDialed);
    ~Connection() override;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Starts delivering events to the owner.
    void open(ConnectionOwner &newOwner);
    void setOwner(ConnectionOwner &newOwner);
    void setFrameLimit(std::size_t limitBytes);

    /// Appends bytes to the output buffer; flush() sends them.
    void write(std::string_view bytes);
    void flush();
    std::size_t unsentBytes() const;

    /// Closes the connection without notifying its owner.
    void close();
    bool closed() const;

    bool dialed() const;
    base::SteadyTime openedAt() const;
    base::SteadyTime lastReceived() const;
    base::SteadyTime lastSent() const;
    std::uint64_t bytesIn() const;
    std::uint64_t bytesOut() const;

    void ready(std::uint32_t events) override;

private:
    void finishConnect();
    void readAll();
    void deliverFrames();
    std::optional<std::size_t> sendOutput();
    void watchFor(std::uint32_t events);
    void fail(const std::string &reason);

    EventLoop &loop;
    Socket socket;
    EventLoop::Token token = 0;
    std::uint32_t watchedEvents = 0;
    ConnectionOwner *owner = nullptr;
    FrameReader reader;
    std::string output;
    std::size_t outputSent = 0;
    bool isDialer;
    bool connecting;
    bool isClosed = false;
    const base::SteadyTime opened;
    base::SteadyTime received;
    base::SteadyTime sent;
    std::uint64_t totalIn = 0;
    std::uint64_t totalOut = 0;
};

} // namespace cranberryreel::link
