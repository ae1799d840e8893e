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

BOOST_AUTO_TEST_SUITE_END()
