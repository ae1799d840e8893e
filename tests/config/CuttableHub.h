#pragma once

#include "link/LinkHub.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <set>
#include <string>
#include <utility>

/// Which pairs of VMs cannot reach each other now. Shared by the hubs of one test.
class Cuts
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

    bool isCut(const std::string &left, const std::string &right)
    {
        absl::MutexLock lock(&this->mutex);
        return this->pairs.count(std::minmax(left, right)) > 0;
    }

private:
    absl::Mutex mutex;
    std::set<std::pair<std::string, std::string>> pairs ABSL_GUARDED_BY(mutex);
};

/// A real hub whose traffic with cut-off VMs is lost both ways. Owned by the VM under test.
class CuttableHub : public cranberryreel::link::LinkHub
{
public:
    using Channel = cranberryreel::link::Channel;

    CuttableHub(std::string ownVm, std::unique_ptr<LinkHub> realHub, std::shared_ptr<Cuts> shared)
        : vm(std::move(ownVm))
        , real(std::move(realHub))
        , cuts(std::move(shared))
    {
    }

    void onMessage(Channel channel, cranberryreel::link::MessageHandler handler) override
    {
        this->real->onMessage(channel, [this, handler = std::move(handler)](const std::string &from, std::string payload) {
            if (!this->cuts->isCut(from, this->vm)) {
                handler(from, std::move(payload));
            }
        });
    }

    void onCall(Channel channel, cranberryreel::link::CallHandler handler) override
    {
        this->real->onCall(channel,
                           [this, handler = std::move(handler)](
                               const std::string &from, std::string payload, const std::string &traceparent, cranberryreel::link::Responder respond) {
                               if (!this->cuts->isCut(from, this->vm)) {
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
        return !this->cuts->isCut(toVm, this->vm) && this->real->send(toVm, channel, std::move(payload));
    }

    void call(const std::string &toVm,
              Channel channel,
              std::string payload,
              std::chrono::milliseconds limit,
              const std::string &traceparent,
              cranberryreel::link::CallDone done) override
    {
        if (this->cuts->isCut(toVm, this->vm)) {
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
        return !this->cuts->isCut(other, this->vm) && this->real->isUp(other);
    }

private:
    const std::string vm;
    const std::unique_ptr<LinkHub> real;
    const std::shared_ptr<Cuts> cuts;
};
