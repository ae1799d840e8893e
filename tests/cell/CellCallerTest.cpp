#include "cell/CellCaller.h"

#include "cell/CallDesk.h"
#include "cell/Codec.h"
#include "support/Eventually.h"
#include "support/FakeHub.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>

using namespace cranberryreel;
using base::ResultCode;
using testsupport::FakeHub;

namespace
{

constexpr std::chrono::milliseconds Limit{400};
constexpr std::chrono::milliseconds TryLimit{100};

link::CallResult answer(ResultCode code, const std::string &leader = {})
{
    cell::wire::ReplyT reply = cell::replyOf(code);
    reply.leader = leader;
    return {ResultCode::Ok, true, cell::pack<cell::wire::Reply>(reply)};
}

/// Calls through a caller that knows three seeds.
cell::CallOutcome callOver(FakeHub &hub)
{
    cell::CellCaller caller(hub, 7000, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    caller.start();
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Submit;
    auto promise = std::make_shared<std::promise<cell::CallOutcome>>();
    caller.call(call, Limit, TryLimit, [promise](cell::CallOutcome outcome) { promise->set_value(std::move(outcome)); });
    cell::CallOutcome outcome = promise->get_future().get();
    caller.stop();
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellCallerTest)

BOOST_AUTO_TEST_CASE(aHintLeadsToTheLeaderAtOnce)
{
    FakeHub hub(
        [](const FakeHub::Seen &seen, std::size_t) { return seen.toVm == "127.0.0.9" ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader, "127.0.0.9"); });
    const cell::CallOutcome outcome = callOver(hub);
    BOOST_TEST(outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST(hub.calls().size() == 2U);
}

BOOST_AUTO_TEST_CASE(whoeverCertainlyDidNotActLeavesTheRefusalTrue)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number % 2 == 0 ? answer(ResultCode::NotLeader) : link::CallResult{ResultCode::LinkDown, false, {}};
    });
    const cell::CallOutcome outcome = callOver(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
}

BOOST_AUTO_TEST_CASE(aTryWithoutAnAnswerMayHaveActedForEver)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answer(ResultCode::NotLeader);
    });
    const cell::CallOutcome outcome = callOver(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
}

/// Load pattern: a zone is cut off; its callers have three seconds and may yet be served by another zone.
BOOST_AUTO_TEST_CASE(inAZoneThatIsCutOffCallsAreRefusedAtOnce)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::NotLeader); });
    hub.down = {"127.0.0.2", "127.0.0.3"};
    const base::SteadyTime since = base::steadyNow();
    const cell::CallOutcome outcome = callOver(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST((base::steadyNow() - since < Limit / 2));
}

BOOST_AUTO_TEST_CASE(whileAllRestartCallsWait)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::Ok); });
    hub.down = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    const base::SteadyTime since = base::steadyNow();
    BOOST_TEST(!callOver(hub).answered);
    BOOST_TEST((base::steadyNow() - since >= Limit));
}

BOOST_AUTO_TEST_CASE(aLeaderThatLostItsTermOnTheWayMayHaveActedAndAnotherIsAsked)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) { return number == 1 ? answer(ResultCode::GroupUnavailable) : answer(ResultCode::QueueFull); });
    const cell::CallOutcome outcome = callOver(hub);
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
    BOOST_TEST(outcome.reply.code == static_cast<int>(ResultCode::QueueFull));
}

/// Load pattern: the leader loses power, and its links stay up until they are known to be dead.
BOOST_AUTO_TEST_CASE(aCallThatWaitsForADeadLeaderTurnsToTheNewOne)
{
    FakeHub hub([](const FakeHub::Seen &seen, std::size_t) { return seen.toVm == "127.0.0.2" ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader); });
    hub.silent = {"127.0.0.1"};
    cell::CellCaller caller(hub, 7000, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    caller.start();
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Submit;
    auto promise = std::make_shared<std::promise<cell::CallOutcome>>();
    std::future<cell::CallOutcome> outcome = promise->get_future();
    const base::SteadyTime began = base::steadyNow();
    caller.call(call, std::chrono::seconds(20), std::chrono::seconds(10), [promise](cell::CallOutcome ended) { promise->set_value(std::move(ended)); });
    BOOST_REQUIRE((support::eventually([&hub] { return hub.calls().size() == 1; }, std::chrono::seconds(5))));
    caller.leaderTells("127.0.0.3", 4);
    caller.leaderTells("127.0.0.2", 5);
    caller.leaderTells("127.0.0.1", 3); // An older term, late.
    const cell::CallOutcome ended = outcome.get();
    BOOST_TEST(ended.answered);
    BOOST_TEST(ended.mayHaveActed);
    BOOST_TEST((base::steadyNow() - began < std::chrono::seconds(5)));
    BOOST_TEST(caller.leader() == "127.0.0.2");
    caller.stop();
}

BOOST_AUTO_TEST_SUITE_END()
