#include "cell/CellCaller.h"

#include "cell/Codec.h"
#include "cell/PeerCallHandler.h"
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
    cell::wire::ReplyT reply = cell::makeReply(code);
    reply.leader = leader;
    return {ResultCode::Ok, true, cell::pack<cell::wire::Reply>(reply)};
}

/// Makes a submit call through a CellCaller with three seeds and returns its outcome.
cell::CallOutcome callThrough(FakeHub &hub)
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

BOOST_AUTO_TEST_CASE(aSuggestedLeaderIsTriedNext)
{
    FakeHub hub(
        [](const FakeHub::Seen &seen, std::size_t) { return seen.toVm == "127.0.0.9" ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader, "127.0.0.9"); });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST(hub.calls().size() == 2U);
}

BOOST_AUTO_TEST_CASE(callsThatWereCertainlyNotCarriedOutAreReportedAsSuch)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number % 2 == 0 ? answer(ResultCode::NotLeader) : link::CallResult{ResultCode::LinkDown, false, {}};
    });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
}

BOOST_AUTO_TEST_CASE(aTryWithoutAnAnswerMarksTheCallAsPossiblyCarriedOut)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answer(ResultCode::NotLeader);
    });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
}

/// Load pattern: a zone is cut off. Its callers have a deadline of three seconds and can still be served by another zone.
BOOST_AUTO_TEST_CASE(callsFailAtOnceInAZoneThatIsCutOff)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::NotLeader); });
    hub.down = {"127.0.0.2", "127.0.0.3"};
    const base::SteadyTime since = base::steadyNow();
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(!outcome.mayHaveActed);
    BOOST_TEST((base::steadyNow() - since < Limit / 2));
}

BOOST_AUTO_TEST_CASE(callsWaitWhileNoVmIsLinked)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::Ok); });
    hub.down = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    const base::SteadyTime since = base::steadyNow();
    BOOST_TEST(!callThrough(hub).answered);
    BOOST_TEST((base::steadyNow() - since >= Limit));
}

BOOST_AUTO_TEST_CASE(aLeaderThatLostItsTermMayHaveActedAndAnotherVmIsTried)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) { return number == 1 ? answer(ResultCode::GroupUnavailable) : answer(ResultCode::QueueFull); });
    const cell::CallOutcome outcome = callThrough(hub);
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
    BOOST_TEST(outcome.reply.code == static_cast<int>(ResultCode::QueueFull));
}

/// Load pattern: the leader loses power, and the links to it stay up until they are detected as down.
BOOST_AUTO_TEST_CASE(aCallThatWaitsForADeadLeaderIsRedirectedToTheNewLeader)
{
    FakeHub hub([](const FakeHub::Seen &seen, std::size_t) { return seen.toVm == "127.0.0.2" ? answer(ResultCode::Ok) : answer(ResultCode::NotLeader); });
    hub.silent = {"127.0.0.1"};
    cell::CellCaller caller(hub, 7000, {"127.0.0.1", "127.0.0.2", "127.0.0.3"});
    caller.start();
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Submit;
    auto promise = std::make_shared<std::promise<cell::CallOutcome>>();
    std::future<cell::CallOutcome> future = promise->get_future();
    const base::SteadyTime began = base::steadyNow();
    caller.call(call, std::chrono::seconds(20), std::chrono::seconds(10), [promise](cell::CallOutcome ended) { promise->set_value(std::move(ended)); });
    BOOST_REQUIRE((support::eventually([&hub] { return hub.calls().size() == 1; }, std::chrono::seconds(5))));
    caller.leaderAnnounced("127.0.0.3", 4);
    caller.leaderAnnounced("127.0.0.2", 5);
    caller.leaderAnnounced("127.0.0.1", 3); // A delayed announcement of an older term.
    const cell::CallOutcome outcome = future.get();
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.mayHaveActed);
    BOOST_TEST((base::steadyNow() - began < std::chrono::seconds(5)));
    BOOST_TEST(caller.leader() == "127.0.0.2");
    caller.stop();
}

BOOST_AUTO_TEST_SUITE_END()
