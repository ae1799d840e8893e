#pragma once

#include "http/ConnectionWatch.h"
#include "http/ServerOptions.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace cranberryreel::http
{

/// All open connections of a server, in shards, and the thread that ends those over their time limits. Owned by the Server.
class ConnectionTable
{
public:
    explicit ConnectionTable(const ServerOptions &options);
    ~ConnectionTable();
    ConnectionTable(const ConnectionTable &) = delete;
    ConnectionTable &operator=(const ConnectionTable &) = delete;

    /// A new connection; the pointer holds until closed().
    ConnectionWatch *opened(int socket);
    void closed(ConnectionWatch *watch);

    /// Moves the connection on; false when it was timed out already and must be dropped.
    static bool enter(ConnectionWatch &watch, ConnectionPhase phase);

    std::vector<std::shared_ptr<Exchange>> exchanges();
    std::uint64_t lastNumber() const;
    std::size_t openConnections() const;
    void stop();

private:
    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<ConnectionWatch *, std::unique_ptr<ConnectionWatch>> watches ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t ShardCount = 16;

    Shard &shardOf(const ConnectionWatch *watch);
    void run();
    void sweep(base::SteadyTime now);
    void check(ConnectionWatch &watch, base::SteadyTime now) const;

    const ServerOptions &options;
    std::array<Shard, ShardCount> shards;
    std::atomic<std::uint64_t> numbers{0};
    std::atomic<std::size_t> open{0};
    absl::Mutex stopMutex;
    bool stopping ABSL_GUARDED_BY(stopMutex) = false;
    std::thread sweeper;
};

} // namespace cranberryreel::http
