#pragma once

#include "config/ConfigService.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>

namespace cranberryreel::testsupport
{

/// An in-memory configuration with compare-and-set on its revision. Owned by a test; may be used from any thread.
class FakeConfigService : public config::ConfigService
{
public:
    /// Adds a partner with this bearer key.
    void addPartner(const std::string &partner, const std::string &key, bool isOperator = false);

    std::shared_ptr<const config::Configuration> current() const override;
    void onChange(std::function<void(std::shared_ptr<const config::Configuration>)> listener) override;
    void change(config::Change change, config::ChangeDone done) override;
    void status(config::StatusDone done) override;

private:
    mutable absl::Mutex mutex;
    std::shared_ptr<const config::Configuration> configuration ABSL_GUARDED_BY(mutex) = std::make_shared<config::Configuration>();
};

} // namespace cranberryreel::testsupport
