#pragma once

#include "support/RelayedConnection.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::support
{

/// Forwards TCP connections on named links and breaks them on demand. Bytes held by a cut are delivered after heal(), as TCP would retransmit them; the bytes
/// of blackholed connections are lost for good, while new connections work. Owned by a test or by the program link_relay; may be used from any thread.
class LinkRelay
{
public:
    LinkRelay();
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    /// Listens for a link on a port of the loopback interface (0: any) and returns the port. Throws base::Error(PortInUse).
    std::uint16_t add(const std::string &name, const std::string &target, std::uint16_t port = 0);

    /// The following functions throw std::out_of_range for an unknown link.
    void cut(const std::string &name);
    void cutForward(const std::string &name);
    void cutBackward(const std::string &name);
    void delay(const std::string &name, std::chrono::milliseconds eachWay);
    void heal(const std::string &name); ///< Ends cuts and delays.
    void blackholeOpen(const std::string &name); ///< Blackholes the connections that are open now.

    std::size_t openConnections(const std::string &name) const;

private:
    struct Link {
        link::Socket listener{-1};
        link::Endpoint target;
        RelayFaults faults;
        std::vector<std::unique_ptr<RelayedConnection>> connections;
    };

    void run();
    void transferAll();
    void waitForWork() const;
    void change(const std::string &name, void (*apply)(Link &));

    mutable absl::Mutex mutex;
    std::map<std::string, Link> links ABSL_GUARDED_BY(mutex);
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace cranberryreel::support
