#include "cell/SpeedMonitor.h"

#include "cell/CellRig.h"
#include "cell/CellSamples.h"
#include "cell/Codec.h"
#include "observe/Metrics.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>

using namespace cranberryreel;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Start = base::SteadyTime() + std::chrono::hours(1);
constexpr std::uint32_t Tasks = 12;

/// Twelve upstreams, those of odd numbers three times as slow, each with one task of a step.
struct MonitoredCell {
    cell::CellOptions options;
    cell::CellStore store;
    std::optional<cell::SpeedMonitor> monitor;

    explicit MonitoredCell(const std::function<void(cell::wire::StepT &)> &change = [](cell::wire::StepT &) {})
    {
        this->options.upstreamSpeeds = true;
        this->apply(support::put(support::rules(1)));
        for (std::uint32_t i = 1; i <= Tasks; ++i) {
            this->apply(support::announce(support::upstream("u" + std::to_string(i), 64000)));
        }
        auto step = support::step(Tasks, 1000);
        change(*step);
        this->apply(support::accept(support::job("j", std::move(step))));
        this->monitor.emplace(this->options, this->store);
    }

    void apply(const cell::wire::CommandT &command)
    {
        this->store.apply(++this->index, cell::pack<cell::wire::Command>(command));
    }

    cell::TrackedRun run(std::uint32_t task) const
    {
        cell::TrackedRun run;
        run.key = {support::key(1, 0, task), 1};
        run.upstream = task + 1;
        run.phase = cell::RunPhase::Confirmed;
        run.startRequests = 1;
        run.startedAt = Start;
        return run;
    }

    static milliseconds durationOf(const cell::TrackedRun &run)
    {
        return milliseconds(run.upstream % 2 == 1 ? 1500 : 500);
    }

    /// Ends all tasks, in the order of their ends.
    void endAll(const std::function<void(cell::TrackedRun &)> &change = [](cell::TrackedRun &) {})
    {
        for (const std::uint32_t rest : {1U, 0U}) {
            for (std::uint32_t task = rest; task < Tasks; task += 2) {
                cell::TrackedRun ended = this->run(task);
                change(ended);
                this->monitor->recordCompletion(ended, Start + durationOf(ended));
            }
        }
        // The next report after the interval of fits takes the completions in.
        cell::TrackedRun other = this->run(0);
        this->monitor->recordProgress(other, Start + milliseconds(2000));
    }

    std::uint64_t index = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SpeedMonitorTest)

BOOST_AUTO_TEST_CASE(completionsShowTheSlowUpstreams)
{
    MonitoredCell monitored;
    monitored.endAll();
    const cell::health::UpstreamSpeeds *speeds = monitored.monitor->speeds();
    BOOST_REQUIRE(speeds != nullptr);
    BOOST_TEST(speeds->speedOf(1) < speeds->speedOf(2));
    monitored.monitor->forget(1);
    BOOST_TEST(speeds->speedOf(1) == 1.0);
}

BOOST_AUTO_TEST_CASE(withoutTheSettingNothingIsEstimated)
{
    MonitoredCell monitored;
    monitored.options.upstreamSpeeds = false;
    monitored.endAll();
    BOOST_TEST(monitored.monitor->speeds() == nullptr);
    BOOST_TEST(monitored.monitor->usualSpeedOf(1) == 1.0);
}

/// Guards against speeds that come from waiting for other tasks or from what other tasks leave.
BOOST_AUTO_TEST_CASE(tasksWhosePaceDependsOnOthersGiveNoSamples)
{
    for (bool cell::wire::StepT::*kind : {&cell::wire::StepT::gang, &cell::wire::StepT::lasting, &cell::wire::StepT::filler, &cell::wire::StepT::one_rack}) {
        MonitoredCell monitored([kind](cell::wire::StepT &step) { step.*kind = true; });
        monitored.endAll();
        BOOST_TEST(monitored.monitor->speeds()->speedOf(1) == 1.0);
    }
}

/// Guards against the short durations of runs that an earlier leader started, and of attempts that resume from a checkpoint.
BOOST_AUTO_TEST_CASE(runsWhoseStartIsUnknownGiveNoDurations)
{
    MonitoredCell adopted;
    adopted.endAll([](cell::TrackedRun &run) { run.startRequests = 0; });
    BOOST_TEST(adopted.monitor->speeds()->speedOf(1) == 1.0);
    MonitoredCell resumed;
    resumed.endAll([](cell::TrackedRun &run) { run.key.attempt = 2; });
    BOOST_TEST(resumed.monitor->speeds()->speedOf(1) == 1.0);
}

/// Guards against taking an upstream far from the step's data for a slow one.
BOOST_AUTO_TEST_CASE(theDistanceFromTheDataIsNotSlowness)
{
    MonitoredCell monitored([](cell::wire::StepT &step) { step.data_rack = "elsewhere"; });
    monitored.options.farRackFactor = 3;
    for (std::uint32_t i = 2; i <= Tasks; i += 2) {
        auto near = support::upstream("u" + std::to_string(i), 64000);
        near->labels.emplace_back("elsewhere");
        monitored.apply(support::announce(std::move(near)));
    }
    monitored.endAll();
    BOOST_TEST(monitored.monitor->speeds()->speedOf(1) == monitored.monitor->speeds()->speedOf(2), boost::test_tools::tolerance(0.01));
}

/// Guards against reports of upstreams that do not reach the estimates, and against estimates without the setting.
BOOST_AUTO_TEST_CASE(aLeaderLearnsSpeedsFromTheEndsThatUpstreamsReport)
{
    const auto slowUpstreams = [] { return observe::prometheusText().find("cranberryreel_cell_upstreams_by_speed{class=\"slow\"} 4") != std::string::npos; };
    for (const bool allowed : {false, true}) {
        support::CellRig rig(milliseconds(400), allowed);
        for (int i = 1; i <= 8; ++i) {
            rig.addUpstream("u" + std::to_string(i), 8000);
        }
        auto step = support::step(8, 1000);
        step->per_upstream = 1;
        rig.submit(support::job("j", std::move(step)));
        rig.submit(support::job("k", support::step(1, 1000)));
        BOOST_REQUIRE(rig.runUntil([&rig] { return rig.upstreams.runningTasks().size() == 9; }));
        for (int i = 0; i < 8; ++i) {
            rig.run(milliseconds(i == 0 ? 200 : i == 4 ? 500 : 0));
            const std::string task = "j.0.0." + std::to_string(i);
            rig.upstreams.finish(rig.upstreams.upstreamOf(task), task, cell::RunEndKind::Done);
        }
        BOOST_TEST(rig.runUntil(slowUpstreams, std::chrono::seconds(2)) == allowed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
