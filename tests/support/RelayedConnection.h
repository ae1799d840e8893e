#pragma once

#include "link/Socket.h"

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include <poll.h>

namespace cranberryreel::support
{

/// The faults that a relay applies to one of its links.
struct RelayFaults {
    bool holdForward = false; ///< Holds back bytes from the dialer to the target.
    bool holdBackward = false; ///< Holds back bytes from the target to the dialer.
    std::chrono::milliseconds delay{0}; ///< In each direction.

    bool isIntact() const
    {
        return !this->holdForward && !this->holdBackward;
    }
};

/// One direction of a relayed connection.
struct RelayedFlow {
    struct Chunk {
        std::chrono::steady_clock::time_point due;
        std::string bytes;
    };

    std::deque<Chunk> chunks;
    std::size_t chunkBytes = 0;
    bool sourceEnded = false;
    bool sinkEnded = false;
};

/// One connection through a relay: accepted from a dialer, and connected to the target once the link is intact. Owned by its LinkRelay, under its lock.
class RelayedConnection
{
public:
    RelayedConnection(link::Socket dialerSocket, link::Endpoint targetEndpoint);

    /// Transfers the bytes that are due; returns false when the connection has ended.
    bool transfer(const RelayFaults &faults);

    /// Adds the descriptors that the next transfer() waits for. Returns false when a delayed chunk is not due yet.
    bool addPollDescriptors(const RelayFaults &faults, std::vector<pollfd> &descriptors) const;

    /// Drops all bytes from now on, while both ends stay open.
    void blackhole();
    bool isBlackholed() const;

private:
    bool connectTarget();
    static void receive(const link::Socket &from, RelayedFlow &flow, std::chrono::milliseconds delay);
    static void deliver(const link::Socket &into, RelayedFlow &flow);

    link::Socket dialer;
    link::Endpoint endpoint;
    link::Socket target{-1};
    RelayedFlow forward;
    RelayedFlow backward;
    bool blackholed = false;
};

} // namespace cranberryreel::support
