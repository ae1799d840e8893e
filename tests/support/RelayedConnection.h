#pragma once

#include "link/Socket.h"

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include <poll.h>

namespace cranberryreel::support
{

/// What a relay does to the bytes of one of its links at present.
struct RelayFaults {
    bool holdForward = false; ///< From the dialer to the target.
    bool holdBackward = false;
    std::chrono::milliseconds delay{0}; ///< Each way.

    bool whole() const
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

/// One connection through a relay: taken from a dialer, forwarded to the target once the link is whole. Owned by its relay, on the relay's thread.
class RelayedConnection
{
public:
    RelayedConnection(link::Socket dialerSocket, link::Endpoint targetEndpoint);

    /// Moves what can be moved; false when the connection has ended.
    bool move(const RelayFaults &faults);

    /// Adds what the next move waits for. False when a delayed chunk waits for time to pass.
    bool addWaits(const RelayFaults &faults, std::vector<pollfd> &waits) const;

    /// From now on its bytes vanish, while both ends stay open.
    void forget();
    bool forgotten() const;

private:
    bool reachTarget();
    static void receive(const link::Socket &from, RelayedFlow &flow, std::chrono::milliseconds delay);
    static void deliver(const link::Socket &into, RelayedFlow &flow);

    link::Socket dialer;
    link::Endpoint endpoint;
    link::Socket target{-1};
    RelayedFlow forward;
    RelayedFlow backward;
    bool isForgotten = false;
};

} // namespace cranberryreel::support
