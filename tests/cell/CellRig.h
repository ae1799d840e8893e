#pragma once

#include "cell/CellSamples.h"
#include "cell/CellTerm.h"
#include "cell/ScriptedUpstreams.h"
#include "support/FakeGroup.h"
#include "support/FakeHub.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cranberryreel::support
{

/// An advice service that allows every upstream and answers at once, unless a test holds its answers.
class AllowAllAdvice : public cell::AdviceCalls
{
public:
    void query(const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, cell::AdviceCallback done) override;

    /// Answers the queries that wait.
    void answerHeld();

    int queries = 0; ///< Number of queries received.
    bool holdsAnswers = false; ///< Queries are decided at once, but their answers wait until answerHeld().
    std::function<void()> onQuery; ///< Called before each answer; may be empty.

private:
    std::deque<std::function<void()>> heldAnswers;
};

/// A leading scheduler with scripted upstreams, on the test's thread. The scheduler makes progress only inside the rig's functions.
class CellRig
{
public:
    /// `leaseMax` is the longest lease that the upstreams' platform allows; `upstreamSpeeds` is the setting of that name.
    explicit CellRig(std::chrono::milliseconds leaseMax = std::chrono::milliseconds(400), bool upstreamSpeeds = false);
    ~CellRig();

    void addUpstream(const std::string &id, std::uint32_t cpuMillis);
    void announce(const std::string &id, std::uint64_t sequence);
    void announce(const cell::wire::UpstreamT &description, std::uint64_t sequence);
    void announceDraining(const std::string &id, std::uint64_t sequence);

    /// Delivers a message of the upstream, or of an earlier incarnation of it, that it is leaving.
    void leave(const std::string &id);

    /// Makes a peer call as another VM would; the result code is set when the scheduler replies.
    std::shared_ptr<std::optional<base::ResultCode>> send(cell::wire::CallT call);

    /// Makes a peer call and returns the result code of the reply.
    base::ResultCode call(cell::wire::CallT call);

    /// Submits the job and returns the result code.
    base::ResultCode submit(std::unique_ptr<cell::wire::JobSpecT> spec);
    base::ResultCode cancel(const std::string &id);
    cell::wire::JobState jobState(const std::string &id) const;

    /// The number of pending jobs that the scheduler gives for this queue.
    std::uint64_t pendingJobs(const std::string &queueName);

    /// Runs the scheduler for this time: ticks and posted functions.
    void run(std::chrono::milliseconds time);

    /// Runs until the condition holds; returns false if the limit passes first.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// Sets the configuration.
    void putRules(std::unique_ptr<cell::wire::RulesT> rules);

    /// Replaces the leader by a new one with a higher epoch.
    void takeOver();

    cell::CellStore store;
    testsupport::FakeGroup group{store};
    ScriptedUpstreams upstreams;
    AllowAllAdvice advice;

private:
    void announce(const std::string &id, std::uint64_t sequence, bool draining);
    void runPosted();

    std::map<std::string, cell::wire::UpstreamT> descriptions; ///< Of the upstreams added, by id.
    cell::CellOptions options;
    testsupport::FakeHub hub;
    cell::AdviceDispatcher pool;
    std::deque<std::function<void()>> posted;
    std::uint64_t term = 1;
    std::unique_ptr<cell::CellTerm> leader;
};

} // namespace cranberryreel::support
