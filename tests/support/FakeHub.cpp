#include "support/FakeHub.h"

#include <utility>

namespace cranberryreel::testsupport
{

FakeHub::FakeHub(Script answers)
    : script(std::move(answers))
{
}

std::vector<FakeHub::Seen> FakeHub::calls() const
{
    absl::MutexLock lock(&this->mutex);
    return this->seen;
}

std::set<std::string> FakeHub::dialed() const
{
    absl::MutexLock lock(&this->mutex);
    return this->dialedVms;
}

void FakeHub::addPeer(const std::string &vm, const std::string & /*address*/)
{
    absl::MutexLock lock(&this->mutex);
    this->dialedVms.insert(vm);
}

void FakeHub::stopDialing(const std::string &vm)
{
    absl::MutexLock lock(&this->mutex);
    this->dialedVms.erase(vm);
}

void FakeHub::onMessage(link::Channel /*channel*/, link::MessageHandler /*handler*/)
{
}

void FakeHub::onCall(link::Channel /*channel*/, link::CallHandler /*handler*/)
{
}

void FakeHub::start()
{
}

void FakeHub::stop()
{
}

void FakeHub::setKeys(link::LinkKeys /*keys*/)
{
}

bool FakeHub::send(const std::string & /*toVm*/, link::Channel /*channel*/, std::string /*payload*/)
{
    return true;
}

void FakeHub::call(const std::string &toVm,
                   link::Channel /*channel*/,
                   std::string payload,
                   std::chrono::milliseconds /*limit*/,
                   const std::string & /*traceparent*/,
                   link::CallDone done)
{
    const Seen call{toVm, std::move(payload)};
    std::size_t number = 0;
    {
        absl::MutexLock lock(&this->mutex);
        this->seen.push_back(call);
        number = this->seen.size();
    }
    if (this->silent.count(toVm) == 0) {
        done(this->script(call, number));
    }
}

std::vector<link::PeerStatus> FakeHub::peers() const
{
    return {};
}

link::LinkFigures FakeHub::figures() const
{
    return {};
}

bool FakeHub::isUp(const std::string &vm) const
{
    return this->down.count(vm) == 0;
}

} // namespace cranberryreel::testsupport
