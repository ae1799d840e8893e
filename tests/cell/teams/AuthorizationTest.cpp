#include "cell/teams/Authorization.h"

#include "cell/CellSamples.h"
#include "cell/teams/KeyFingerprint.h"
#include "cell/teams/TeamLabels.h"
#include "cell/teams/TeamSamples.h"

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace cranberryreel;
using base::ResultCode;
using cell::CellState;

namespace
{

CellState stateWith(std::unique_ptr<cell::wire::RulesT> rules)
{
    CellState state;
    state.apply(support::put(std::move(rules)));
    return state;
}

/// Adds a job of this team (empty: none).
void addJob(CellState &state, const std::string &id, const std::string &team)
{
    auto job = support::job(id, support::step(1, 100));
    job->team = team;
    state.apply(support::accept(std::move(job)));
}

ResultCode decide(const CellState &state, const std::string &queue, const std::string &key, const std::string &job = {})
{
    return cell::teams::authorize(state, *state.queue(queue), key, state.jobNamed(job)).code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AuthorizationTest)

BOOST_AUTO_TEST_CASE(aClosedQueueRequiresAKnownKey)
{
    const CellState state = stateWith(support::rulesWithTeams(1));
    BOOST_TEST((decide(state, "quick", "") == ResultCode::Unauthorized));
    BOOST_TEST((decide(state, "quick", "key-a") == ResultCode::Unauthorized));
    BOOST_TEST((decide(state, "quick", "key-a1") == ResultCode::Ok));
    BOOST_TEST(cell::teams::authorize(state, *state.queue("quick"), "key-b", nullptr).team->name == "b");
}

BOOST_AUTO_TEST_CASE(anOpenQueueIgnoresKeysAndItsCallsHaveNoTeam)
{
    const CellState state = stateWith(support::rulesWithTeams(1));
    for (const char *key : {"", "key-a1", "wrong"}) {
        const auto decision = cell::teams::authorize(state, *state.queue("open"), key, nullptr);
        BOOST_TEST((decision.code == ResultCode::Ok && decision.team == nullptr));
    }
}

/// Failure: an empty list of teams was taken for a configuration without teams, so that anyone had access.
BOOST_AUTO_TEST_CASE(anEmptyListOfTeamsRequiresKeys)
{
    auto rules = support::rules(1);
    rules->requires_keys = true;
    BOOST_TEST((decide(stateWith(std::move(rules)), "quick", "") == ResultCode::Unauthorized));
    BOOST_TEST((decide(stateWith(support::rules(1)), "quick", "") == ResultCode::Ok));
    BOOST_TEST((decide(stateWith(support::rules(1)), "quick", "any") == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(onlyTheJobsTeamHasAccess)
{
    CellState state = stateWith(support::rulesWithTeams(1));
    addJob(state, "j", "a");
    BOOST_TEST((decide(state, "quick", "key-a1", "j") == ResultCode::Ok));
    BOOST_TEST((decide(state, "quick", "key-a2", "j") == ResultCode::Ok));
    BOOST_TEST((decide(state, "quick", "key-b", "j") == ResultCode::Forbidden));
    BOOST_TEST((decide(state, "quick", "wrong", "j") == ResultCode::Unauthorized));
}

/// Failure: the index from key to team kept keys that newer rules had removed, or was empty after a restart from a snapshot.
BOOST_AUTO_TEST_CASE(keysFollowTheRulesAndSurviveASnapshot)
{
    CellState state = stateWith(support::rulesWithTeams(1));
    addJob(state, "j", "a");
    auto rotated = support::rulesWithTeams(2);
    rotated->teams[0]->keys = {"key-a3"};
    state.apply(support::put(std::move(rotated)));
    const CellState restored = CellState::decode(state.encode());
    for (const CellState *each : {&std::as_const(state), &restored}) {
        BOOST_TEST((decide(*each, "quick", "key-a1", "j") == ResultCode::Unauthorized));
        BOOST_TEST((decide(*each, "quick", "key-a3", "j") == ResultCode::Ok));
        BOOST_TEST((decide(*each, "quick", "key-b", "j") == ResultCode::Forbidden));
        BOOST_TEST(each->jobNamed("j")->spec->team == "a");
    }
}

/// Failure: a snapshot or log of a version without teams could not be read, or its jobs were out of reach once teams were configured.
BOOST_AUTO_TEST_CASE(stateWithoutTeamsRemainsReadable)
{
    CellState old = stateWith(support::rules(1));
    addJob(old, "j", "");
    CellState state = CellState::decode(old.encode());
    BOOST_TEST((decide(state, "quick", "", "j") == ResultCode::Ok));
    state.apply(support::put(support::rulesWithTeams(2)));
    BOOST_TEST((decide(state, "quick", "key-b", "j") == ResultCode::Ok));
    BOOST_TEST((decide(state, "quick", "", "j") == ResultCode::Unauthorized));
}

/// Failure: after its team was removed from the configuration, nobody could read or cancel a job.
BOOST_AUTO_TEST_CASE(jobsOfRemovedTeamsAndJobsWithoutATeamAreOpenToEveryTeam)
{
    CellState state = stateWith(support::rulesWithTeams(1));
    addJob(state, "removed", "z");
    addJob(state, "none", "");
    for (const char *id : {"removed", "none"}) {
        BOOST_TEST((decide(state, "quick", "key-b", id) == ResultCode::Ok));
        BOOST_TEST((decide(state, "quick", "", id) == ResultCode::Unauthorized));
    }
}

/// Failure: a snapshot dropped whose cancel had come before the job, so that it blocked the jobs of all teams, or of none.
BOOST_AUTO_TEST_CASE(cancelsAheadOfTheirJobsSurviveASnapshot)
{
    CellState state = stateWith(support::rulesWithTeams(1));
    cell::wire::CommandT command;
    for (const char *team : {"b", ""}) {
        command.team_cancels.push_back(std::make_unique<cell::wire::TeamCancelT>());
        command.team_cancels.back()->id = "j";
        command.team_cancels.back()->team = team;
    }
    command.cancels.push_back("k");
    state.apply(command);
    const CellState restored = CellState::decode(state.encode());
    for (const CellState *each : {&std::as_const(state), &restored}) {
        BOOST_TEST((each->isCancelledId("j", "b") && each->isCancelledId("j", "") && !each->isCancelledId("j", "a")));
        BOOST_TEST((each->isCancelledId("k", "a") && each->isCancelledId("k", "")));
    }
}

BOOST_AUTO_TEST_CASE(fingerprintsDoNotDiscloseKeys)
{
    BOOST_TEST(cell::teams::keyFingerprint("abc") == "ba7816bf"); // The first digits of the SHA-256 that FIPS 180-4 gives for "abc".
    BOOST_TEST(cell::teams::keyFingerprint("") == "none");
}

/// Failure: a deployment that renames its teams often filled the metrics without bound, and a quote in a name made them unreadable.
BOOST_AUTO_TEST_CASE(labelsAreBoundedAndEscaped)
{
    cell::teams::TeamLabels labels;
    BOOST_TEST(labels.labelFor("") == R"(team="none")");
    BOOST_TEST(labels.labelFor("a\"b\\c\n") == R"(team="a\"b\\c\n")");
    for (std::size_t i = 1; i < cell::teams::TeamLabels::MaxNames; ++i) {
        BOOST_TEST(labels.labelFor(std::to_string(i)) != R"(team="other")");
    }
    BOOST_TEST(labels.labelFor("late") == R"(team="other")");
    BOOST_TEST(labels.labelFor("1") == R"(team="1")");
}

BOOST_AUTO_TEST_SUITE_END()
