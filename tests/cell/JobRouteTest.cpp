#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::RunEndKind;
using cell::wire::CallKind;
using cell::wire::JobState;
using support::CellRig;

namespace
{

constexpr std::uint32_t TicketValidMs = 2000;

std::unique_ptr<cell::wire::RulesT> rulesWith(std::uint64_t version, std::unique_ptr<cell::wire::QueueT> queue)
{
    auto rules = support::rules(version);
    rules->queues.front() = std::move(queue);
    return rules;
}

/// The queue at "/quick/", whose steps need tickets, under this name.
std::unique_ptr<cell::wire::QueueT> advisedQueue(const std::string &name)
{
    auto queue = support::queue("quick", 0, 2);
    queue->name = name;
    queue->advice = std::make_unique<cell::wire::AdviceT>();
    queue->advice->valid_ms = TicketValidMs;
    return queue;
}

std::unique_ptr<cell::wire::JobSpecT> jobOfTwoSteps()
{
    std::vector<std::unique_ptr<cell::wire::StepT>> steps;
    steps.push_back(support::step(1, 1000));
    steps.push_back(support::step(1, 1000));
    steps.back()->after = {0};
    return support::job("j", std::move(steps));
}

base::ResultCode ask(CellRig &rig, CallKind kind, const std::string &path)
{
    cell::wire::CallT call;
    call.kind = kind;
    call.host = "host";
    call.path = path;
    return rig.call(std::move(call));
}

bool runsToCompletion(CellRig &rig)
{
    for (const char *task : {"j.0.0.0", "j.0.1.0"}) {
        if (!rig.runUntil([&] { return !rig.upstreams.upstreamOf(task).empty(); }, std::chrono::seconds(3))) {
            return false;
        }
        rig.upstreams.finish("u1", task, RunEndKind::Done);
    }
    return rig.runUntil([&] { return rig.jobState("j") == JobState::Completed; }, std::chrono::seconds(3));
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobRouteTest)

/// Failure: a configuration replaced a route by one of another name at the same place; its accepted jobs were answered "no such job" and never continued.
BOOST_AUTO_TEST_CASE(aJobIsKnownAndCarriedOutAfterItsRouteGotAnotherName)
{
    CellRig rig;
    rig.putRules(rulesWith(2, advisedQueue("quick")));
    rig.addUpstream("u1", 8000);
    BOOST_REQUIRE((rig.submit(jobOfTwoSteps()) == base::ResultCode::Ok));
    rig.putRules(rulesWith(3, advisedQueue("renamed")));
    BOOST_TEST((ask(rig, CallKind::ReadJob, "/quick/j") == base::ResultCode::Ok));
    BOOST_TEST(runsToCompletion(rig));
    BOOST_TEST((ask(rig, CallKind::ReadJob, "/quick/j") == base::ResultCode::Ok));
}

/// Failure: a job whose route was removed counted as needing no ticket, so that each of its starts was refused and it never ended.
BOOST_AUTO_TEST_CASE(aJobOfARemovedRouteIsCarriedOutAsItsRouteWasConfigured)
{
    CellRig rig;
    rig.putRules(rulesWith(2, advisedQueue("quick")));
    rig.addUpstream("u1", 8000);
    BOOST_REQUIRE((rig.submit(jobOfTwoSteps()) == base::ResultCode::Ok));
    rig.putRules(rulesWith(3, support::queue("other", 0, 2)));
    BOOST_TEST(runsToCompletion(rig));
    BOOST_TEST(rig.advice.queries >= 2);
}

/// Failure: a job passed to another route that took over the name of its own, removed route.
BOOST_AUTO_TEST_CASE(aRouteThatTakesOverANameDoesNotTakeOverTheJobs)
{
    CellRig rig;
    rig.putRules(rulesWith(2, support::queue("quick", 0, 2)));
    rig.addUpstream("u1", 8000);
    BOOST_REQUIRE((rig.submit(jobOfTwoSteps()) == base::ResultCode::Ok));
    auto other = support::queue("other", 0, 2);
    other->name = "quick";
    other->service = "elsewhere";
    rig.putRules(rulesWith(3, std::move(other)));
    BOOST_TEST((ask(rig, CallKind::ReadJob, "/other/j") == base::ResultCode::UpstreamUnknown));
    BOOST_TEST((ask(rig, CallKind::CancelJob, "/other/j") == base::ResultCode::UpstreamUnknown));
    BOOST_TEST(runsToCompletion(rig));
}

BOOST_AUTO_TEST_SUITE_END()
