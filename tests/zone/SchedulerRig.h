#pragma once

#include "config/Configuration.h"
#include "support/FakeFleet.h"
#include "support/FakeGroup.h"
#include "zone/ZoneReply.h"
#include "zone/ZoneScheduler.h"
#include "zone/ZoneStore.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>

namespace cranberryreel::testsupport
{

/// A zone scheduler over a fake group and fake upstreams, with short times. Taking over makes a new scheduler over the same store and upstreams.
class SchedulerRig
{
public:
    SchedulerRig();
    ~SchedulerRig();

    /// Announces an upstream and waits until work may be placed on it.
    void addUpstream(const std::string &id, std::uint32_t slots = 8);
    void announce(const std::string &id);
    void takeOver();

    model::JobSpec request(const std::string &id) const;
    model::JobSpec batch(const std::string &id, std::uint32_t tasks) const;

    std::future<zone::ZoneReply> submitLater(const model::JobSpec &spec, bool mayExist = false);
    zone::ZoneReply submit(const model::JobSpec &spec, bool mayExist = false);
    zone::ZoneReply lookup(const model::JobId &id);
    zone::ZoneReply cancel(const model::JobId &id);
    zone::ZoneReply call(const zone::CallBody &body);

    /// Polls until it holds; false after a generous limit.
    static bool eventually(const std::function<bool()> &condition);
    bool reaches(const model::JobId &id, model::JobState state);

    FakeFleet fleet;
    zone::ZoneStore store;
    FakeGroup group{store};
    zone::SchedulerOptions options;

private:
    std::unique_ptr<zone::ZoneScheduler> makeScheduler();
    std::future<zone::ZoneReply> callLater(const zone::CallBody &body);

    std::shared_ptr<config::Configuration> configuration = std::make_shared<config::Configuration>();
    std::uint64_t term = 1;
    std::unique_ptr<zone::ZoneScheduler> scheduler;
};

} // namespace cranberryreel::testsupport
