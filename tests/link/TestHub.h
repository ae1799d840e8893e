#pragma once

#include "support/FreePort.h"

#include "link/LinkHubBuilder.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::link
{

/// A hub under test whose handlers store messages and echo calls. Owned by its test.
class TestHub
{
public:
    struct Address {
        std::string vm;
        std::string dial; ///< Address that other hubs dial: the hub's own or a relay's.
    };

    TestHub(const std::string &ownVm,
            std::uint16_t ownPort,
            const std::vector<Address> &peers,
            const LinkKeys &keys = {"key", ""},
            const std::string &cluster = "test")
        : vm(ownVm)
    {
        LinkHubBuilder builder;
        builder.vm(ownVm).cluster(cluster).listen(support::loopback(ownPort)).keys(keys);
        for (const Address &peer : peers) {
            builder.peer(peer.vm, peer.dial);
        }
        this->hub = builder.build();
        this->hub->onMessage(Channel::Gossip, [this](const std::string &from, const std::string &payload) {
            absl::MutexLock lock(&this->mutex);
            this->messages.push_back(from + ":" + payload);
        });
        this->hub->onCall(Channel::Zone, [this](const std::string &from, const std::string &payload, const std::string &traceparent, Responder respond) {
            if (payload == "hold") {
                absl::MutexLock lock(&this->mutex);
                this->held.push_back(std::move(respond));
                return;
            }
            respond(from + ">" + this->vm + ":" + payload + "|" + traceparent);
        });
        this->hub->start();
    }

    std::vector<std::string> received()
    {
        absl::MutexLock lock(&this->mutex);
        return this->messages;
    }

    std::vector<Responder> takeHeld()
    {
        absl::MutexLock lock(&this->mutex);
        return std::exchange(this->held, {});
    }

    std::future<CallResult> call(const std::string &toVm, std::string payload, std::chrono::milliseconds limit = std::chrono::seconds(10))
    {
        auto promise = std::make_shared<std::promise<CallResult>>();
        this->hub->call(toVm, Channel::Zone, std::move(payload), limit, "trace", [promise](CallResult result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    LinkHub &operator*()
    {
        return *this->hub;
    }

    LinkHub *operator->()
    {
        return this->hub.get();
    }

private:
    std::string vm;
    absl::Mutex mutex;
    std::vector<std::string> messages ABSL_GUARDED_BY(mutex);
    std::vector<Responder> held ABSL_GUARDED_BY(mutex);
    std::unique_ptr<LinkHub> hub;
};

} // namespace cranberryreel::link
