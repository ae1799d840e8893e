#include "support/FakeConfigService.h"

#include "config/KeyHash.h"

namespace cranberryreel::testsupport
{

void FakeConfigService::addPartner(const std::string &partner, const std::string &key, bool isOperator)
{
    absl::MutexLock lock(&this->mutex);
    auto next = std::make_shared<config::Configuration>(*this->configuration);
    next->partners[partner] = {partner, config::keyHash(key), isOperator};
    this->configuration = next;
}

std::shared_ptr<const config::Configuration> FakeConfigService::current() const
{
    absl::MutexLock lock(&this->mutex);
    return this->configuration;
}

void FakeConfigService::onChange(std::function<void(std::shared_ptr<const config::Configuration>)>)
{
}

void FakeConfigService::change(config::Change change, config::ChangeDone done)
{
    config::ChangeReply reply;
    {
        absl::MutexLock lock(&this->mutex);
        reply.revision = this->configuration->revision;
        if (change.fromRevision != reply.revision) {
            reply.code = base::ResultCode::RevisionConflict;
            reply.reason = "Another change was made first.";
        } else {
            auto next = std::make_shared<config::Configuration>(*this->configuration);
            reply.revision = ++next->revision;
            (change.part == config::ChangePart::Register ? next->registerText : next->rulesText) = change.text;
            reply.inForceAt = {"vm-a"};
            this->configuration = next;
        }
    }
    done(reply);
}

void FakeConfigService::status(config::StatusDone done)
{
    done({{"vm-a", this->current()->revision, true, false}});
}

} // namespace cranberryreel::testsupport
