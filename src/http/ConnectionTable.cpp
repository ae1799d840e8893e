#include "http/ConnectionTable.h"

#include "http/Exchange.h"
#include "http/RawAnswer.h"

#include <algorithm>
#include <sys/socket.h>

namespace cranberryreel::http
{

namespace
{

constexpr std::chrono::milliseconds LongestSweepInterval{500};
constexpr int SweepsPerLimit = 4; ///< A limit is kept to within a quarter of the shortest one.

std::chrono::milliseconds sweepInterval(const ServerOptions &options)
{
    const auto shortest = std::min({options.headerLimit, options.bodyLimit, options.idleLimit, options.answerLimit});
    return std::clamp(shortest / SweepsPerLimit, std::chrono::milliseconds(1), LongestSweepInterval);
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

ConnectionTable::Shard &ConnectionTable::shardOf(const ConnectionWatch *watch)
{
    return this->shards[watch->number % ShardCount];
}

ConnectionWatch *ConnectionTable::opened(int socket)
{
    auto watch = std::make_unique<ConnectionWatch>();
    watch->socket = socket;
    watch->number = ++this->numbers;
    watch->overLimit = ++this->open > this->options.maxConnections;
    ConnectionWatch *key = watch.get();
    Shard &shard = this->shardOf(key);
    absl::MutexLock lock(&shard.mutex);
    shard.watches.emplace(key, std::move(watch));
    return key;
}

void ConnectionTable::closed(ConnectionWatch *watch)
{
    std::unique_ptr<ConnectionWatch> gone;
    Shard &shard = this->shardOf(watch);
    absl::MutexLock lock(&shard.mutex);
    if (const auto found = shard.watches.find(watch); found != shard.watches.end()) {
        gone = std::move(found->second);
        shard.watches.erase(found);
        --this->open;
    }
}

bool ConnectionTable::enter(ConnectionWatch &watch, ConnectionPhase phase)
{
    absl::MutexLock lock(&watch.mutex);
    if (watch.phase == ConnectionPhase::TimedOut) {
        return false;
    }
    watch.phase = phase;
    watch.since = base::steadyNow();
    return true;
}

std::vector<std::shared_ptr<Exchange>> ConnectionTable::exchanges()
{
    std::vector<std::shared_ptr<Exchange>> all;
    for (Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto &[watch, owned] : shard.watches) {
            absl::MutexLock watchLock(&watch->mutex);
            if (watch->exchange) {
                all.push_back(watch->exchange);
            }
        }
    }
    return all;
}

std::uint64_t ConnectionTable::lastNumber() const
{
    return this->numbers;
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
        for (auto &[watch, owned] : shard.watches) {
            this->check(*watch, now);
        }
    }
}

void ConnectionTable::check(ConnectionWatch &watch, base::SteadyTime now) const
{
    absl::MutexLock lock(&watch.mutex);
    const auto spent = now - watch.since;
    const bool headersLate = watch.phase == ConnectionPhase::FirstRequest && spent > this->options.headerLimit;
    const bool bodyLate = watch.phase == ConnectionPhase::ReceivingBody && spent > this->options.bodyLimit;
    const bool idleLong = watch.phase == ConnectionPhase::Idle && spent > this->options.idleLimit;
    const bool readLate = watch.phase == ConnectionPhase::Writing && spent > this->options.answerLimit;
    if (!headersLate && !bodyLate && !idleLong && !readLate) {
        return;
    }
    if (headersLate || bodyLate) {
        sendRawAnswer(watch.socket, errorResponse(base::ResultCode::RequestTimedOut, "The request was not sent whole in time; send it again."));
    }
    watch.phase = ConnectionPhase::TimedOut;
    ::shutdown(watch.socket, SHUT_RDWR);
}

} // namespace cranberryreel::http
