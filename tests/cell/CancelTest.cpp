#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using base::ResultCode;
using cell::wire::CallKind;
using cell::wire::JobState;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

cell::wire::CallT callFor(CallKind kind, const std::string &id)
{
    cell::wire::CallT call;
    call.kind = kind;
    call.host = "host";
    call.path = "/quick/" + id;
    if (kind == CallKind::Submit) {
        call.job = support::job(id, support::step(1, 1000));
    }
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CancelTest)

/// Failure: a cancel answered "no such job" left no trace, so that the submission, held up at a frozen VM, was accepted and ran.
BOOST_AUTO_TEST_CASE(aJobCancelledBeforeItArrivesNeverRuns)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    BOOST_TEST((rig.call(callFor(CallKind::CancelJob, "j")) == ResultCode::UpstreamUnknown));
    BOOST_TEST((rig.call(callFor(CallKind::Submit, "j")) == ResultCode::CancelledBeforeStart));
    rig.takeOver();
    BOOST_TEST((rig.call(callFor(CallKind::Submit, "j")) == ResultCode::CancelledBeforeStart));
    BOOST_TEST((rig.call(callFor(CallKind::ReadJob, "j")) == ResultCode::UpstreamUnknown));
    BOOST_TEST((rig.call(callFor(CallKind::CancelJob, "j")) == ResultCode::UpstreamUnknown));
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.startCounts.empty());
}

/// Failure: a cancel that arrived while its job was being committed was answered "no such job", and the job ran.
BOOST_AUTO_TEST_CASE(aJobCancelledWhileItIsCommittedNeverRuns)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.group.stalls = true;
    const auto submitted = rig.send(callFor(CallKind::Submit, "j"));
    rig.run(milliseconds(50));
    const auto cancelled = rig.send(callFor(CallKind::CancelJob, "j"));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return submitted->has_value() && cancelled->has_value(); }));
    BOOST_TEST((**submitted == ResultCode::Ok));
    BOOST_TEST((**cancelled == ResultCode::Ok));
    BOOST_TEST((rig.jobState("j") == JobState::Cancelled));
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.runningTasks().empty());
}

/// Failure: a cancelled id belonged to its queue's name, so that a submission held up over a change of configuration was accepted.
BOOST_AUTO_TEST_CASE(aCancelledIdStaysCancelledWhenItsQueueIsRenamed)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    BOOST_TEST((rig.call(callFor(CallKind::CancelJob, "j")) == ResultCode::UpstreamUnknown));
    auto renamed = support::rules(2);
    renamed->queues.front()->name = "renamed";
    rig.putRules(std::move(renamed));
    BOOST_TEST((rig.call(callFor(CallKind::Submit, "j")) == ResultCode::CancelledBeforeStart));
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.startCounts.empty());
}

/// Failure: a cancel was acknowledged by a leader that lost the leadership before it had committed the cancel, and the next leader accepted the submission.
BOOST_AUTO_TEST_CASE(aCancelIsNotAcknowledgedBeforeItIsCommitted)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.group.stalls = true;
    const auto cancelled = rig.send(callFor(CallKind::CancelJob, "j"));
    rig.run(milliseconds(50));
    BOOST_TEST(!cancelled->has_value());
    rig.takeOver();
    BOOST_REQUIRE(cancelled->has_value());
    BOOST_TEST((**cancelled == ResultCode::GroupUnavailable));
    rig.group.resume();
    BOOST_TEST((rig.call(callFor(CallKind::Submit, "j")) == ResultCode::CancelledBeforeStart));
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.startCounts.empty());
}

/// Failure: a retry of a submission that was refused as cancelled was accepted by a leader that had not seen the cancel itself.
BOOST_AUTO_TEST_CASE(eachRetryOfACancelledSubmissionIsRefused)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    BOOST_TEST((rig.call(callFor(CallKind::CancelJob, "j")) == ResultCode::UpstreamUnknown));
    for (int leader = 0; leader < 3; ++leader) {
        rig.store.restore(rig.store.snapshot());
        rig.takeOver();
        const auto first = rig.send(callFor(CallKind::Submit, "j"));
        const auto second = rig.send(callFor(CallKind::Submit, "j"));
        BOOST_REQUIRE(rig.runUntil([&] { return first->has_value() && second->has_value(); }));
        BOOST_TEST((**first == ResultCode::CancelledBeforeStart));
        BOOST_TEST((**second == ResultCode::CancelledBeforeStart));
    }
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.startCounts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
