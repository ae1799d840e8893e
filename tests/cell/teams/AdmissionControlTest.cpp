#include "cell/AdmissionControl.h"

#include "cell/CellRig.h"
#include "observe/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using base::ResultCode;
using support::CellRig;

namespace
{

/// A cell with one core. The jobs of its queue take a second each; their limit is 3 s.
struct AdmissionRig : CellRig {
    explicit AdmissionRig(bool hasTeams)
    {
        auto changed = support::rules(2);
        changed->queues[0]->slack = 1;
        changed->queues[0]->open = true;
        changed->requires_keys = hasTeams;
        this->putRules(std::move(changed));
        this->addUpstream("u1", 1000);
    }

    static std::unique_ptr<cell::wire::JobSpecT> job(const std::string &id)
    {
        auto step = support::step(1, 1000);
        step->estimate_ms = 1000;
        return support::job(id, std::move(step));
    }

    /// Submits jobs until one is rejected; returns how many were accepted, at most 100.
    int fill()
    {
        int accepted = 0;
        while (accepted < 100 && this->submit(job("j" + std::to_string(accepted))) == ResultCode::Ok) {
            ++accepted;
        }
        return accepted;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionControlTest)

/// Failure: a deployment without teams behaved differently.
BOOST_AUTO_TEST_CASE(withoutTeamsEveryJobIsAccepted)
{
    BOOST_TEST(AdmissionRig(false).fill() == 100);
}

/// Load: submissions beyond the capacity. Failures: none was rejected; an accepted job, or one that ends only when cancelled, or a repeated one was rejected.
BOOST_AUTO_TEST_CASE(overloadRejectsOnlyNewJobsWithADeadline)
{
    AdmissionRig rig(true);
    const observe::Counter &rejected = observe::counter("cranberryreel_cell_team_rejected_total", "", R"(team="none",reason="capacity")");
    const std::uint64_t before = rejected.value();
    const int accepted = rig.fill();
    BOOST_TEST((accepted >= 4 && accepted < 100));
    BOOST_TEST((rejected.value() == before + 1));
    BOOST_TEST((rig.submit(AdmissionRig::job("other")) == ResultCode::DeadlineUnreachable));
    BOOST_TEST((rig.submit(AdmissionRig::job("j0")) == ResultCode::Ok));
    auto lasting = AdmissionRig::job("lasting");
    lasting->steps[0]->lasting = true;
    BOOST_TEST((rig.submit(std::move(lasting)) == ResultCode::Ok));
    auto repeated = AdmissionRig::job("repeated");
    repeated->times = 2;
    BOOST_TEST((rig.submit(std::move(repeated)) == ResultCode::Ok));
}

/// Load: a caller submits again while the first submission is being committed, and the backlog grows meanwhile. Failure: it was told that the job never runs.
BOOST_AUTO_TEST_CASE(aJobThatIsBeingCommittedIsNotRejected)
{
    AdmissionRig rig(true);
    const auto send = [&rig](const std::string &id) {
        cell::wire::CallT call;
        call.kind = cell::wire::CallKind::Submit;
        call.host = "host";
        call.path = "/quick/" + id;
        call.job = AdmissionRig::job(id);
        return rig.send(std::move(call));
    };
    BOOST_REQUIRE((rig.submit(AdmissionRig::job("running")) == ResultCode::Ok));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == 1; }));
    rig.run(std::chrono::milliseconds(200)); // The load is measured anew.
    const auto first = send("first");
    auto last = first;
    for (int i = 0; i < 100 && *last != ResultCode::DeadlineUnreachable; ++i) {
        last = send("k" + std::to_string(i));
    }
    BOOST_REQUIRE((*last == ResultCode::DeadlineUnreachable));
    const auto again = send("first");
    BOOST_REQUIRE(rig.runUntil([&] { return first->has_value() && again->has_value(); }));
    BOOST_TEST((*first == ResultCode::Ok && *again == ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()
