#include "config/ChangeRouter.h"

#include "config/WireCodec.h"
#include "support/FakeHub.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>

using namespace cranberryreel;
using base::ResultCode;
using testsupport::FakeHub;

namespace
{

link::CallResult answer(ResultCode code)
{
    config::wire::ChangeAnswerT answer;
    answer.code = static_cast<std::int32_t>(code);
    answer.reason = "the change was not made";
    return {ResultCode::Ok, true, config::encode(answer)};
}

config::ChangeReply routeOver(FakeHub &hub)
{
    const auto worker = std::make_shared<base::Mailbox>();
    config::ConfigServiceOptions options;
    options.vm = "rey-b";
    options.groupMembers = {"rey-a", "hfj-a", "akr-a"};
    options.timings.changeLimit = std::chrono::milliseconds(500);
    config::ConfigPeers peers(hub, worker, options.vm);
    config::ChangeRouter router(options, peers, worker);
    worker->start();
    std::promise<config::ChangeReply> promise;
    worker->post([&] {
        router.route({"first", 0, config::ChangePart::Rules, ""}, [&promise](const config::ChangeReply &reply) { promise.set_value(reply); });
    });
    config::ChangeReply reply = promise.get_future().get();
    worker->stop();
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChangeRouterTest)

BOOST_AUTO_TEST_CASE(aChangeThatNoDiskCouldSyncWasNotMade)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t) { return answer(ResultCode::NoDurableStore); });
    BOOST_TEST((routeOver(hub).code == ResultCode::NoDurableStore));
}

/// Load pattern: the link to the leader is lost while the change is on its way, and the disks of the group are lost before it is sent again.
BOOST_AUTO_TEST_CASE(aChangeThatAnEarlierTryMayHaveMadeIsNotReportedAsNotMade)
{
    FakeHub hub([](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answer(ResultCode::NoDurableStore);
    });
    const config::ChangeReply reply = routeOver(hub);
    BOOST_TEST((reply.code == ResultCode::ConfigurationUnavailable));
    BOOST_TEST((reply.reason.find("may still be made") != std::string::npos), reply.reason);
}

BOOST_AUTO_TEST_SUITE_END()
