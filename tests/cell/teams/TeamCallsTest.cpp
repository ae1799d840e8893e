#include "cell/CellRig.h"
#include "cell/teams/TeamSamples.h"
#include "observe/Metrics.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace cranberryreel;
using base::ResultCode;
using cell::wire::CallKind;
using cell::wire::JobState;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

cell::wire::CallT callFor(CallKind kind, const std::string &path, const std::string &key)
{
    cell::wire::CallT call;
    call.kind = kind;
    call.host = "host";
    call.path = path;
    call.key = key;
    if (kind == CallKind::Submit) {
        call.job = support::job("any", support::step(1, 1000));
    }
    return call;
}

/// A scheduler whose configuration has teams.
struct TeamRig : CellRig {
    TeamRig()
    {
        this->putRules(support::rulesWithTeams(2));
        this->addUpstream("u1", 8000);
    }

    ResultCode ask(CallKind kind, const std::string &path, const std::string &key)
    {
        return this->call(callFor(kind, path, key));
    }

    bool isKnown(const std::string &id) const
    {
        return this->store.read([&id](const cell::CellState &state) { return state.jobNamed(id) != nullptr; });
    }

    std::string teamOf(const std::string &id) const
    {
        return this->store.read([&id](const cell::CellState &state) { return state.jobNamed(id)->spec->team; });
    }

    bool isBeyondRate(const std::string &id) const
    {
        return this->store.read([&id](const cell::CellState &state) { return state.jobNamed(id)->spec->beyond_rate; });
    }
};

constexpr CallKind JobCalls[] = {CallKind::Submit, CallKind::ReadJob, CallKind::CancelJob};

} // namespace

BOOST_AUTO_TEST_SUITE(TeamCallsTest)

/// Failure: any caller could submit, read, cancel and count jobs without a key.
BOOST_AUTO_TEST_CASE(everyCallToAClosedQueueRequiresAKey)
{
    TeamRig rig;
    for (const char *key : {"", "unknown"}) {
        for (const CallKind kind : JobCalls) {
            BOOST_TEST((rig.ask(kind, "/quick/j", key) == ResultCode::Unauthorized));
        }
        BOOST_TEST((rig.ask(CallKind::CountPending, "/quick/", key) == ResultCode::Unauthorized));
    }
    BOOST_TEST(!rig.isKnown("j"));
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/j", "key-a1") == ResultCode::Ok)); // The rejected cancel left no trace.
    BOOST_TEST(rig.teamOf("j") == "a");
    BOOST_TEST((rig.ask(CallKind::CountPending, "/quick/", "key-b") == ResultCode::Ok));
    BOOST_TEST((rig.ask(CallKind::Submit, "/none/j", "unknown") == ResultCode::NotFound));
}

BOOST_AUTO_TEST_CASE(aKeyOfAnotherTeamIsForbiddenAndHasNoEffect)
{
    TeamRig rig;
    BOOST_REQUIRE((rig.ask(CallKind::Submit, "/quick/j", "key-a1") == ResultCode::Ok));
    for (const CallKind kind : JobCalls) {
        BOOST_TEST((rig.ask(kind, "/quick/j", "key-b") == ResultCode::Forbidden));
    }
    BOOST_TEST((rig.jobState("j") != JobState::Cancelled));
    BOOST_TEST((rig.ask(CallKind::ReadJob, "/quick/j", "key-a2") == ResultCode::Ok));
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/j", "key-a2") == ResultCode::Ok));
    BOOST_TEST((rig.ask(CallKind::CancelJob, "/quick/j", "key-a2") == ResultCode::Ok));
    BOOST_TEST((rig.jobState("j") == JobState::Cancelled));
}

/// Failure: two teams submitted the same id at the same time, and both were told that their job was accepted.
BOOST_AUTO_TEST_CASE(ofTwoTeamsThatSubmitOneIdTogetherTheSecondIsForbidden)
{
    TeamRig rig;
    rig.group.stalls = true;
    const auto first = rig.send(callFor(CallKind::Submit, "/quick/j", "key-a1"));
    rig.run(milliseconds(20));
    const auto second = rig.send(callFor(CallKind::Submit, "/quick/j", "key-b"));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return first->has_value() && second->has_value(); }));
    BOOST_TEST((**first == ResultCode::Ok && **second == ResultCode::Forbidden));
    BOOST_TEST(rig.teamOf("j") == "a");
}

/// Failure: a cancel that came before its job, or while the job was being committed, cancelled the job of another team.
BOOST_AUTO_TEST_CASE(aCancelAheadOfItsJobAffectsOnlyTheTeamsOwnJobs)
{
    TeamRig rig;
    BOOST_TEST((rig.ask(CallKind::CancelJob, "/quick/early", "key-b") == ResultCode::UpstreamUnknown));
    BOOST_TEST((rig.ask(CallKind::CancelJob, "/open/early", "") == ResultCode::UpstreamUnknown));
    rig.takeOver();
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/early", "key-b") == ResultCode::CancelledBeforeStart));
    BOOST_TEST((rig.ask(CallKind::Submit, "/open/early", "") == ResultCode::CancelledBeforeStart));
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/early", "key-a1") == ResultCode::Ok));
    rig.group.stalls = true;
    const auto submitted = rig.send(callFor(CallKind::Submit, "/quick/j", "key-a1"));
    rig.run(milliseconds(20));
    const auto foreign = rig.send(callFor(CallKind::CancelJob, "/quick/j", "key-b"));
    const auto open = rig.send(callFor(CallKind::CancelJob, "/open/j", ""));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return submitted->has_value() && foreign->has_value() && open->has_value(); }));
    BOOST_TEST((**submitted == ResultCode::Ok && **foreign == ResultCode::Forbidden && **open == ResultCode::Forbidden));
    BOOST_TEST((rig.jobState("j") != JobState::Cancelled));
}

/// Failure: a team could no longer cancel its own job ahead of the submission, or while it was being committed.
BOOST_AUTO_TEST_CASE(aCancelAheadOfItsJobAffectsTheTeamsOwnJob)
{
    TeamRig rig;
    rig.ask(CallKind::CancelJob, "/quick/early", "key-b"); // Another team's cancel of the same id does not replace the team's own.
    BOOST_TEST((rig.ask(CallKind::CancelJob, "/quick/early", "key-a1") == ResultCode::UpstreamUnknown));
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/early", "key-a2") == ResultCode::CancelledBeforeStart));
    rig.group.stalls = true;
    const auto submitted = rig.send(callFor(CallKind::Submit, "/quick/j", "key-a1"));
    rig.run(milliseconds(20));
    const auto cancelled = rig.send(callFor(CallKind::CancelJob, "/quick/j", "key-a2"));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return submitted->has_value() && cancelled->has_value(); }));
    BOOST_TEST((**cancelled == ResultCode::Ok));
    BOOST_TEST((rig.jobState("j") == JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(jobsOfAnOpenQueueBelongToNoTeam)
{
    TeamRig rig;
    for (const char *key : {"", "key-a1", "unknown"}) {
        const std::string path = std::string("/open/j") + key;
        BOOST_TEST((rig.ask(CallKind::Submit, path, key) == ResultCode::Ok));
        BOOST_TEST((rig.ask(CallKind::ReadJob, path, "") == ResultCode::Ok));
        BOOST_TEST(rig.teamOf(std::string("j") + key).empty());
    }
}

/// Failure: revoking a key stopped the jobs that it had submitted, or did not revoke it after a change of leader.
BOOST_AUTO_TEST_CASE(aJobWhoseKeyIsRevokedContinues)
{
    TeamRig rig;
    BOOST_REQUIRE((rig.ask(CallKind::Submit, "/quick/j", "key-b") == ResultCode::Ok));
    auto rules = support::rulesWithTeams(3);
    rules->teams[1]->keys = {"key-b2"};
    rig.putRules(std::move(rules));
    BOOST_TEST((rig.ask(CallKind::ReadJob, "/quick/j", "key-b") == ResultCode::Unauthorized));
    rig.takeOver();
    rig.announce("u1", 2);
    BOOST_TEST((rig.ask(CallKind::ReadJob, "/quick/j", "key-b") == ResultCode::Unauthorized));
    BOOST_TEST((rig.ask(CallKind::ReadJob, "/quick/j", "key-b2") == ResultCode::Ok));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf("j.0.0.0").empty(); }));
    rig.upstreams.finish("u1", "j.0.0.0", cell::RunEndKind::Done);
    BOOST_TEST(rig.runUntil([&] { return rig.jobState("j") == JobState::Completed; }));
}

BOOST_AUTO_TEST_CASE(aConfigurationWithoutTeamsIgnoresKeys)
{
    CellRig rig;
    BOOST_TEST((rig.call(callFor(CallKind::Submit, "/quick/j", "any")) == ResultCode::Ok));
    BOOST_TEST((rig.call(callFor(CallKind::ReadJob, "/quick/j", "")) == ResultCode::Ok));
    BOOST_TEST(rig.store.read([](const cell::CellState &state) { return state.jobNamed("j")->spec->team.empty(); }));
}

/// Failure: a job that can never run within its team's quota was accepted and waited for ever.
BOOST_AUTO_TEST_CASE(aTaskLargerThanItsTeamsLimitIsRejected)
{
    TeamRig rig;
    auto rules = support::rulesWithTeams(3);
    rules->teams[0]->cpu_millis = 999;
    rig.putRules(std::move(rules));
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/j", "key-a1") == ResultCode::QuotaExceeded));
    BOOST_TEST(!rig.isKnown("j"));
    BOOST_TEST((rig.ask(CallKind::Submit, "/quick/j", "key-b") == ResultCode::Ok));
}

/// Failure: the mark was lost with the leader that had counted the submissions.
BOOST_AUTO_TEST_CASE(jobsBeyondTheRateAreMarkedForGood)
{
    TeamRig rig;
    auto rules = support::rulesWithTeams(3);
    rules->teams[0]->weight = 2;
    rig.putRules(std::move(rules));
    rig.group.stalls = true; // All submissions fall into one second.
    std::map<std::string, std::shared_ptr<std::optional<ResultCode>>> sent;
    for (const char *id : {"1", "1", "1", "2", "3"}) {
        sent[id] = rig.send(callFor(CallKind::Submit, std::string("/quick/") + id, "key-a1"));
    }
    sent["b"] = rig.send(callFor(CallKind::Submit, "/quick/b", "key-b"));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return sent["3"]->has_value() && sent["b"]->has_value(); }));
    rig.takeOver();
    BOOST_TEST(!rig.isBeyondRate("1"));
    BOOST_TEST(!rig.isBeyondRate("2"));
    BOOST_TEST(rig.isBeyondRate("3"));
    BOOST_TEST(!rig.isBeyondRate("b"));
}

BOOST_AUTO_TEST_CASE(metricsTellWhoWasRejectedAndWhy)
{
    TeamRig rig;
    rig.ask(CallKind::Submit, "/quick/m", "key-a1");
    rig.ask(CallKind::ReadJob, "/quick/m", "key-b");
    rig.ask(CallKind::ReadJob, "/quick/m", "unknown");
    const std::string metrics = observe::prometheusText();
    for (const char *line : {R"(cranberryreel_cell_team_submitted_total{team="a",beyond_rate="false"})",
                             R"(cranberryreel_cell_team_rejected_total{team="b",reason="Forbidden"})",
                             R"(cranberryreel_cell_team_rejected_total{team="none",reason="Unauthorized"})"}) {
        BOOST_TEST((metrics.find(line) != std::string::npos), line);
    }
    BOOST_TEST((metrics.find("key-a1") == std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()
