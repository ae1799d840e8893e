#pragma once

#include "link/LinkHub.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <set>
#include <string>
#include <utility>

/// The pairs of VMs that cannot reach each other at present. Shared by the hubs of one test; any thread.
class NetworkPartitions
{
public:
    void cut(const std::string &left, const std::string &right)
    {
        absl::MutexLock lock(&this->mutex);
        this->pairs.insert(std::minmax(left, right));
    }

    void healAll()
    {
        absl::MutexLock lock(&this->mutex);
        this->pairs.clear();
    }

    bool isPartitioned(const std::string &left, const std::string &right)
    {
        absl::MutexLock lock(&this->mutex);
        return this->pairs.count(std::minmax(left, right)) > 0;
    }

private:
    absl::Mutex mutex;
    std::set<std::pair<std::string, std::string>> pairs ABSL_GUARDED_BY(mutex);
};

/// A real hub that drops traffic in both directions between partitioned VMs. Owned by the VM under test.
class PartitionableHub : public cranberryreel::link::LinkHub
{
public:
    using Channel = cranberryreel::link::Channel;

    PartitionableHub(std::string ownVm, std::unique_ptr<LinkHub> realHub, std::shared_ptr<NetworkPartitions> shared)
        : vm(std::move(ownVm))
        , real(std::move(realHub))
        , partitions(std::move(shared))
    {
    }

    void onMessage(Channel channel, cranberryreel::link::MessageHandler handler) override
    {
        this->real->onMessage(channel, [this, handler = std::move(handler)](const std::string &from, std::string payload) {
            if (!this->partitions->isPartitioned(from, this->vm)) {
                handler(from, std::move(payload));
            }
        });
    }

    void onCall(Channel channel, cranberryreel::link::CallHandler handler) override
    {
        this->real->onCall(channel,
                           [this, handler = std::move(handler)](
                               const std::string &from, std::string payload, const std::string &traceparent, cranberryreel::link::Responder respond) {
                               if (!this->partitions->isPartitioned(from, this->vm)) {
                                   handler(from, std::move(payload), traceparent, std::move(respond));
                               }
                           });
    }

    void start() override
    {
        this->real->start();
    }

    void stop() override
    {
        this->real->stop();
    }

    bool send(const std::string &toVm, Channel channel, std::string payload) override
    {
        return !this->partitions->isPartitioned(toVm, this->vm) && this->real->send(toVm, channel, std::move(payload));
    }

    void call(const std::string &toVm,
              Channel channel,
              std::string payload,
              std::chrono::milliseconds limit,
              const std::string &traceparent,
              cranberryreel::link::CallDone done) override
    {
        if (this->partitions->isPartitioned(toVm, this->vm)) {
            done({cranberryreel::base::ResultCode::LinkDown, false, ""});
            return;
        }
        this->real->call(toVm, channel, std::move(payload), limit, traceparent, std::move(done));
    }

    void setKeys(cranberryreel::link::LinkKeys keys) override
    {
        this->real->setKeys(std::move(keys));
    }

    cranberryreel::link::LinkFigures figures() const override
    {
        return this->real->figures();
    }

    std::vector<cranberryreel::link::PeerStatus> peers() const override
    {
        return this->real->peers();
    }

    bool isUp(const std::string &other) const override
    {
        return !this->partitions->isPartitioned(other, this->vm) && this->real->isUp(other);
    }

private:
    const std::string vm;
    const std::unique_ptr<LinkHub> real;
    const std::shared_ptr<NetworkPartitions> partitions;
};
