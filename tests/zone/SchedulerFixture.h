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

/// A zone scheduler with a fake group and fake upstreams, and with short time limits. takeOver() creates a new scheduler with the same store and upstreams.
class SchedulerFixture
{
public:
    SchedulerFixture();
    ~SchedulerFixture();

    /// Announces an upstream and waits until work may be placed on it.
    void addUpstream(const std::string &id, std::uint32_t slots = 8);
    void announce(const std::string &id);
    /// Ends the scheduler's term and starts a new scheduler in the next term.
    void takeOver();

    model::JobSpec request(const std::string &id) const;
    model::JobSpec batch(const std::string &id, std::uint32_t tasks) const;

    std::future<zone::ZoneReply> submitLater(const model::JobSpec &spec, bool mayExist = false);
    zone::ZoneReply submit(const model::JobSpec &spec, bool mayExist = false);
    zone::ZoneReply lookup(const model::JobId &id);
    zone::ZoneReply cancel(const model::JobId &id);
    zone::ZoneReply call(const zone::CallBody &body);

    /// Polls until the condition holds; returns false after 20 seconds.
    static bool eventually(const std::function<bool()> &condition);
    /// Polls until the job has the state; returns false after 20 seconds.
    bool reachesState(const model::JobId &id, model::JobState state);

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
