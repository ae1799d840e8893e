#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "http/Response.h"
#include "support/FakeBars.h"
#include "support/FakeJournal.h"
#include "support/FakeTask.h"
#include "support/FakeUpstreamOptions.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace cranberryreel::testsupport
{

/// The tasks, leases and epoch of one fake upstream; time comes in as an argument. Owned by the FakeUpstream, under its lock.
class FakeTaskTable
{
public:
    FakeTaskTable(const FakeUpstreamOptions &upstreamOptions, FakeJournal &taskJournal);

    /// Each answers, or with a held answer for later keeps it in the task. `receivedAt` tells how old a start is.
    void start(const nlohmann::json &order, base::SteadyTime receivedAt, base::SteadyTime now, HeldAnswer answer);
    http::Response renew(const nlohmann::json &order, base::SteadyTime now);
    http::Response ask(const std::string &taskId, base::SteadyTime now) const;
    http::Response command(const std::string &taskId, const std::string &verb, const nlohmann::json &order, base::SteadyTime now);

    /// Ends what is due and answers what was held long enough. True when an end was told to nobody yet.
    bool advance(base::SteadyTime now);
    std::optional<base::SteadyTime> nextDue() const;

    model::UpstreamReport report(base::SteadyTime now) const;

    /// All tasks die with the process that the upstream stands for; it returns with a new boot id and remembers nothing.
    void restart(base::SteadyTime now);

    /// Loses all ended tasks.
    void forgetEnded();

    /// Held answers of connections up to this number are never given.
    void silenceUpTo(std::uint64_t connection);

    bool failAll = false;
    bool leaving = false;

private:
    bool fenced(const nlohmann::json &order);
    http::Response staleEpoch() const;
    std::optional<http::Response> refusal(const std::string &id, std::uint32_t attempt, const model::Resources &size) const;
    FakeTask &create(const nlohmann::json &order, base::SteadyTime now);
    void end(FakeTask &task, model::JobState state, base::SteadyTime when, const std::string &outcome, base::SteadyTime now);
    void giveHeld(FakeTask &task, base::SteadyTime now, bool all);
    void give(const HeldAnswer &held, const http::Response &response);
    model::TaskReport reportOf(const FakeTask &task, base::SteadyTime now) const;
    http::Response taskResponse(const FakeTask &task, base::SteadyTime now) const;

    const FakeUpstreamOptions &options;
    FakeJournal &journal;
    std::map<std::string, FakeTask> tasks;
    FakeBars bars;
    std::vector<HeldAnswer> neverGiven;
    std::uint64_t epoch = 0;
    std::uint64_t silencedConnection = 0;
    std::string boot;
    bool untoldEnd = false;
};

} // namespace cranberryreel::testsupport
