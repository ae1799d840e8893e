#pragma once

#include "link/LinkHub.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::testsupport
{

/// A link hub that answers peer calls with a test's function, on the calling thread. Owned by a test.
class FakeHub : public link::LinkHub
{
public:
    struct Seen {
        std::string toVm;
        std::string payload;
    };

    using Script = std::function<link::CallResult(const Seen &call, std::size_t number)>;

    explicit FakeHub(Script answers);

    std::vector<Seen> calls() const;

    /// The VMs that were added as peers and are still dialed.
    std::set<std::string> dialed() const;

    /// VMs whose link is down. Set while no call is made.
    std::set<std::string> down;

    /// VMs that never answer. Set before the first call.
    std::set<std::string> silent;

    void onMessage(link::Channel channel, link::MessageHandler handler) override;
    void onCall(link::Channel channel, link::CallHandler handler) override;
    void start() override;
    void stop() override;
    void setKeys(link::LinkKeys keys) override;
    bool send(const std::string &toVm, link::Channel channel, std::string payload) override;
    void call(const std::string &toVm,
              link::Channel channel,
              std::string payload,
              std::chrono::milliseconds limit,
              const std::string &traceparent,
              link::CallDone done) override;
    void addPeer(const std::string &vm, const std::string &address) override;
    void stopDialing(const std::string &vm) override;
    std::vector<link::PeerStatus> peers() const override;
    link::LinkFigures figures() const override;
    bool isUp(const std::string &vm) const override;

private:
    Script script;
    mutable absl::Mutex mutex;
    std::vector<Seen> seen ABSL_GUARDED_BY(mutex);
    std::set<std::string> dialedVms ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::testsupport
