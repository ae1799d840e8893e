#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::review
{

/// Forwards connections to one address, and can hold up what arrives, like a network that cuts a path off and delivers the bytes once it has healed. Owned by
/// the case.
class DelayProxy
{
public:
    DelayProxy(std::string ownAddress, std::string targetAddress);
    ~DelayProxy();
    DelayProxy(const DelayProxy &) = delete;
    DelayProxy &operator=(const DelayProxy &) = delete;

    /// Where it listens.
    const std::string &address() const;

    /// From now on, bytes are held up.
    void cut();

    /// Delivers what was held up, also from senders that have closed their connection since.
    void heal();

private:
    void acceptAll();
    void forward(int connection);

    const std::string listenAddress;
    const std::string target;
    std::mutex mutex;
    std::condition_variable changed;
    bool isCut = false;
    std::atomic<bool> running{true};
    int listening = -1;
    std::thread acceptor;
    std::vector<std::thread> workers;
};

} // namespace cranberryreel::review
