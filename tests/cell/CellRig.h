#pragma once

#include "cell/CellSamples.h"
#include "cell/CellTerm.h"
#include "cell/ScriptedUpstreams.h"
#include "support/FakeGroup.h"
#include "support/FakeHub.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace cranberryreel::support
{

/// Allows every upstream at once.
class AllowAll : public cell::AdviceCalls
{
public:
    void query(const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, cell::AdviceCallback done) override;

    int asked = 0;
    std::function<void()> whenAsked; ///< Called before the answer; may be empty.
};

/// A leading scheduler over scripted upstreams, on the test's thread: nothing happens but within run().
class CellRig
{
public:
    CellRig();
    ~CellRig();

    void addUpstream(const std::string &id, std::uint32_t cpuMillis);
    void announce(const std::string &id, std::uint64_t sequence);

    /// The upstream, or an earlier life of it, said that it ends.
    void leave(const std::string &id);

    /// As from another VM; the answer's code.
    base::ResultCode call(cell::wire::CallT call);

    /// Puts the job in; its result code.
    base::ResultCode submit(std::unique_ptr<cell::wire::JobSpecT> spec);
    base::ResultCode cancel(const std::string &id);
    cell::wire::JobState stateOf(const std::string &id) const;

    /// Ticks and handles what was posted for so long.
    void run(std::chrono::milliseconds time);

    /// Runs until the condition holds; false after the limit.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// Puts a configuration.
    void put(std::unique_ptr<cell::wire::RulesT> rules);

    /// Another leader takes over with a higher epoch.
    void takeOver();

    cell::CellStore store;
    testsupport::FakeGroup group{store};
    ScriptedUpstreams upstreams;
    AllowAll advice;

private:
    void drain();

    cell::CellOptions options;
    testsupport::FakeHub hub;
    cell::AdviceDispatcher pool;
    std::deque<std::function<void()>> posted;
    std::uint64_t term = 1;
    std::unique_ptr<cell::CellTerm> leader;
};

} // namespace cranberryreel::support
