#include "http/ConnectionTable.h"

#include "http/Exchange.h"
#include "http/RawResponse.h"

#include <algorithm>
#include <sys/socket.h>

namespace cranberryreel::http
{

namespace
{

constexpr std::chrono::milliseconds MaxSweepInterval{500};
constexpr int SweepsPerLimit = 4; ///< Limits are enforced with a delay of at most a quarter of the shortest limit.

std::chrono::milliseconds sweepInterval(const ServerOptions &options)
{
    const auto shortest = std::min({options.headerLimit, options.bodyLimit, options.idleLimit, options.writeLimit});
    return std::clamp(shortest / SweepsPerLimit, std::chrono::milliseconds(1), MaxSweepInterval);
}

} // namespace

ConnectionTable::ConnectionTable(const ServerOptions &serverOptions)
    : options(serverOptions)
    , sweeper([this] { this->run(); })
{
}

ConnectionTable::~ConnectionTable()
{
    this->stop();
}

ConnectionTable::Shard &ConnectionTable::shardFor(const TrackedConnection *tracked)
{
    return this->shards[tracked->number % ShardCount];
}

TrackedConnection *ConnectionTable::add(int socket)
{
    auto tracked = std::make_unique<TrackedConnection>();
    tracked->socket = socket;
    tracked->number = ++this->newestNumber;
    tracked->overLimit = ++this->open > this->options.maxConnections;
    TrackedConnection *key = tracked.get();
    Shard &shard = this->shardFor(key);
    absl::MutexLock lock(&shard.mutex);
    shard.connections.emplace(key, std::move(tracked));
    return key;
}

void ConnectionTable::remove(TrackedConnection *tracked)
{
    std::unique_ptr<TrackedConnection> removed;
    Shard &shard = this->shardFor(tracked);
    absl::MutexLock lock(&shard.mutex);
    if (const auto found = shard.connections.find(tracked); found != shard.connections.end()) {
        removed = std::move(found->second);
        shard.connections.erase(found);
        --this->open;
    }
}

bool ConnectionTable::enterPhase(TrackedConnection &tracked, ConnectionPhase phase)
{
    absl::MutexLock lock(&tracked.mutex);
    if (tracked.phase == ConnectionPhase::TimedOut) {
        return false;
    }
    tracked.phase = phase;
    tracked.phaseStart = base::steadyNow();
    return true;
}

std::vector<std::shared_ptr<Exchange>> ConnectionTable::exchanges()
{
    std::vector<std::shared_ptr<Exchange>> all;
    for (Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto &[tracked, owned] : shard.connections) {
            absl::MutexLock connectionLock(&tracked->mutex);
            if (tracked->exchange) {
                all.push_back(tracked->exchange);
            }
        }
    }
    return all;
}

std::uint64_t ConnectionTable::lastConnectionNumber() const
{
    return this->newestNumber;
}

std::size_t ConnectionTable::openConnections() const
{
    return this->open;
}

void ConnectionTable::stop()
{
    {
        absl::MutexLock lock(&this->stopMutex);
        this->stopping = true;
    }
    if (this->sweeper.joinable()) {
        this->sweeper.join();
    }
}

void ConnectionTable::run()
{
    const std::chrono::milliseconds interval = sweepInterval(this->options);
    while (true) {
        {
            absl::MutexLock lock(&this->stopMutex);
            this->stopMutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::FromChrono(interval));
            if (this->stopping) {
                return;
            }
        }
        this->sweep(base::steadyNow());
    }
}

void ConnectionTable::sweep(base::SteadyTime now)
{
    for (Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto &[tracked, owned] : shard.connections) {
            this->closeIfOverdue(*tracked, now);
        }
    }
}

void ConnectionTable::closeIfOverdue(TrackedConnection &tracked, base::SteadyTime now) const
{
    absl::MutexLock lock(&tracked.mutex);
    const auto elapsed = now - tracked.phaseStart;
    const bool headersOverdue = tracked.phase == ConnectionPhase::FirstRequest && elapsed > this->options.headerLimit;
    const bool bodyOverdue = tracked.phase == ConnectionPhase::ReceivingBody && elapsed > this->options.bodyLimit;
    const bool idleOverdue = tracked.phase == ConnectionPhase::Idle && elapsed > this->options.idleLimit;
    const bool writeOverdue = tracked.phase == ConnectionPhase::Writing && elapsed > this->options.writeLimit;
    if (!headersOverdue && !bodyOverdue && !idleOverdue && !writeOverdue) {
        return;
    }
    if (headersOverdue || bodyOverdue) {
        sendRawResponse(tracked.socket, errorResponse(base::ResultCode::RequestTimedOut, "The request did not arrive completely in time; send it again."));
    }
    tracked.phase = ConnectionPhase::TimedOut;
    ::shutdown(tracked.socket, SHUT_RDWR);
}

} // namespace cranberryreel::http
