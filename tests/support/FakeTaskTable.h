#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "http/Response.h"
#include "support/FakeJournal.h"
#include "support/FakeRefusedAttempts.h"
#include "support/FakeTask.h"
#include "support/FakeUpstreamOptions.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace cranberryreel::testsupport
{

/// The tasks, leases and epoch of one fake upstream. The caller passes the current time. Owned by the FakeUpstream, under its lock.
class FakeTaskTable
{
public:
    FakeTaskTable(const FakeUpstreamOptions &upstreamOptions, FakeJournal &taskJournal);

    /// Handle one request each. start() answers at once, or keeps `answer` in the task until the task ends or the wait is over; `receivedAt` decides whether
    /// the start request has expired.
    void start(const nlohmann::json &request, base::SteadyTime receivedAt, base::SteadyTime now, HeldAnswer answer);
    http::Response renew(const nlohmann::json &request, base::SteadyTime now);
    http::Response taskStatus(const std::string &taskId, base::SteadyTime now) const;
    http::Response command(const std::string &taskId, const std::string &action, const nlohmann::json &request, base::SteadyTime now);

    /// Ends the tasks that are due and sends the answers that were held long enough. Returns true when an end has not been reported yet.
    bool advance(base::SteadyTime now);
    std::optional<base::SteadyTime> nextDue() const;

    model::UpstreamReport report(base::SteadyTime now) const;

    /// Simulates a restart of the process: all tasks end, the boot id is new, and no earlier state remains.
    void restart(base::SteadyTime now);

    /// Removes all ended tasks, as if the upstream had lost them.
    void removeEndedTasks();

    /// Held answers on connections up to this number are never sent.
    void silenceUpTo(std::uint64_t connection);

    bool failAll = false;
    bool leaving = false;

private:
    /// Whether the epoch of a request is older than the latest one; adopts a newer epoch.
    bool rejectsEpoch(const nlohmann::json &request);
    http::Response staleEpochResponse() const;
    std::optional<http::Response> refusalResponse(const std::string &id, std::uint32_t attempt, const model::Resources &size) const;
    FakeTask &create(const nlohmann::json &request, base::SteadyTime now);
    void end(FakeTask &task, model::JobState state, base::SteadyTime when, const std::string &outcome, base::SteadyTime now);
    void sendHeldAnswers(FakeTask &task, base::SteadyTime now, bool all);
    void sendAnswer(const HeldAnswer &held, const http::Response &response);
    model::TaskReport taskReport(const FakeTask &task, base::SteadyTime now) const;
    http::Response taskResponse(const FakeTask &task, base::SteadyTime now) const;

    const FakeUpstreamOptions &options;
    FakeJournal &journal;
    std::map<std::string, FakeTask> tasks;
    FakeRefusedAttempts refusedAttempts;
    std::vector<HeldAnswer> unsentAnswers;
    std::uint64_t epoch = 0;
    std::uint64_t silencedConnection = 0;
    std::string boot;
    bool hasUnreportedEnd = false;
};

} // namespace cranberryreel::testsupport
