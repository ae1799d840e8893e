#pragma once

#include "http/ServerOptions.h"
#include "http/TrackedConnection.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace cranberryreel::http
{

/// All open connections of a server, in shards, and the thread that closes connections over their time limits. Owned by the Server; any of its threads.
class ConnectionTable
{
public:
    explicit ConnectionTable(const ServerOptions &options);
    ~ConnectionTable();
    ConnectionTable(const ConnectionTable &) = delete;
    ConnectionTable &operator=(const ConnectionTable &) = delete;

    /// Registers a new connection; the pointer is valid until remove().
    TrackedConnection *add(int socket);
    void remove(TrackedConnection *tracked);

    /// Sets the phase and restarts its time limit. Returns false if the connection has timed out and must be dropped.
    static bool enterPhase(TrackedConnection &tracked, ConnectionPhase phase);

    /// The exchanges of all open connections.
    std::vector<std::shared_ptr<Exchange>> exchanges();

    /// Number of the newest connection, counted from 1.
    std::uint64_t lastConnectionNumber() const;
    std::size_t openConnections() const;
    void stop();

private:
    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<TrackedConnection *, std::unique_ptr<TrackedConnection>> connections ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t ShardCount = 16;

    Shard &shardFor(const TrackedConnection *tracked);
    void run();
    void sweep(base::SteadyTime now);
    void closeIfOverdue(TrackedConnection &tracked, base::SteadyTime now) const;

    const ServerOptions &options;
    std::array<Shard, ShardCount> shards;
    std::atomic<std::uint64_t> newestNumber{0};
    std::atomic<std::size_t> open{0};
    absl::Mutex stopMutex;
    bool stopping ABSL_GUARDED_BY(stopMutex) = false;
    std::thread sweeper;
};

} // namespace cranberryreel::http
