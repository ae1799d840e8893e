#include "support/LinkRelay.h"

#include <algorithm>

namespace cranberryreel::support
{

namespace
{

constexpr std::chrono::milliseconds MaxWait{10};
constexpr std::chrono::milliseconds DelayedWait{1};

} // namespace

LinkRelay::LinkRelay()
    : thread([this] { this->run(); })
{
}

LinkRelay::~LinkRelay()
{
    this->stopping.store(true);
    this->thread.join();
}

std::uint16_t LinkRelay::add(const std::string &name, const std::string &target, std::uint16_t port)
{
    Link added;
    added.listener = link::Socket::listen({"127.0.0.1", port});
    added.target = link::Endpoint::parse(target);
    const std::uint16_t bound = added.listener.localPort();
    absl::MutexLock lock(&this->mutex);
    this->links[name] = std::move(added);
    return bound;
}

void LinkRelay::cut(const std::string &name)
{
    this->change(name, [](Link &link) { link.faults.holdForward = link.faults.holdBackward = true; });
}

void LinkRelay::cutForward(const std::string &name)
{
    this->change(name, [](Link &link) { link.faults.holdForward = true; });
}

void LinkRelay::cutBackward(const std::string &name)
{
    this->change(name, [](Link &link) { link.faults.holdBackward = true; });
}

void LinkRelay::delay(const std::string &name, std::chrono::milliseconds eachWay)
{
    absl::MutexLock lock(&this->mutex);
    this->links.at(name).faults.delay = eachWay;
}

void LinkRelay::heal(const std::string &name)
{
    this->change(name, [](Link &link) { link.faults = {}; });
}

void LinkRelay::blackholeOpen(const std::string &name)
{
    this->change(name, [](Link &link) {
        for (const auto &connection : link.connections) {
            connection->blackhole();
        }
    });
}

std::size_t LinkRelay::openConnections(const std::string &name) const
{
    absl::MutexLock lock(&this->mutex);
    const auto &connections = this->links.at(name).connections;
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [](const auto &connection) { return !connection->isBlackholed(); }));
}

void LinkRelay::run()
{
    while (!this->stopping.load()) {
        this->transferAll();
        this->waitForWork();
    }
}

void LinkRelay::transferAll()
{
    absl::MutexLock lock(&this->mutex);
    for (auto &[name, relayed] : this->links) {
        for (link::Socket next = relayed.listener.accept(); next.valid(); next = relayed.listener.accept()) {
            relayed.connections.push_back(std::make_unique<RelayedConnection>(std::move(next), relayed.target));
        }
        const RelayFaults faults = relayed.faults;
        auto ended = [&faults](const std::unique_ptr<RelayedConnection> &connection) { return !connection->transfer(faults); };
        relayed.connections.erase(std::remove_if(relayed.connections.begin(), relayed.connections.end(), ended), relayed.connections.end());
    }
}

void LinkRelay::waitForWork() const
{
    std::vector<pollfd> descriptors;
    bool noDelayedChunk = true;
    {
        absl::MutexLock lock(&this->mutex);
        for (const auto &[name, relayed] : this->links) {
            descriptors.push_back({relayed.listener.descriptor(), POLLIN, 0});
            for (const auto &connection : relayed.connections) {
                noDelayedChunk = connection->addPollDescriptors(relayed.faults, descriptors) && noDelayedChunk;
            }
        }
    }
    const std::chrono::milliseconds limit = noDelayedChunk ? MaxWait : DelayedWait;
    ::poll(descriptors.data(), descriptors.size(), static_cast<int>(limit.count()));
}

void LinkRelay::change(const std::string &name, void (*apply)(Link &))
{
    absl::MutexLock lock(&this->mutex);
    apply(this->links.at(name));
}

} // namespace cranberryreel::support
