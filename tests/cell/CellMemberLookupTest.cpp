#include "cell/CellMember.h"

#include "cell/CellRig.h"
#include "cell/Codec.h"
#include "support/FakeHub.h"
#include "support/TemporaryFolder.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>
#include <thread>

using namespace cranberryreel;
using base::ResultCode;
using testsupport::FakeHub;

namespace
{

constexpr const char *OwnVm = "127.0.0.1";

/// A VM that holds the cell's state, restarted beside two VMs that are gone. It asks only itself.
class LoneMember
{
public:
    LoneMember()
    {
        this->hub.down = {"127.0.0.2", "127.0.0.3"};
        cell::MemberOptions group;
        group.dataFolder = this->folder.name();
        group.seeds = {OwnVm, "127.0.0.2", "127.0.0.3"};
        cell::CellOptions options;
        options.ownVm = OwnVm;
        this->member = std::make_unique<cell::CellMember>(group, options, this->hub, this->caller, this->upstreams, this->advice);
        this->caller.start();
        this->member->start();
    }

    ~LoneMember()
    {
        this->member->stop(std::chrono::milliseconds(0));
        this->caller.stop();
    }

    cell::CallOutcome lookUp()
    {
        cell::wire::CallT call;
        call.kind = cell::wire::CallKind::Lookup;
        auto promise = std::make_shared<std::promise<cell::CallOutcome>>();
        this->caller.call(call, std::chrono::seconds(5), std::chrono::seconds(5), [promise](cell::CallOutcome ended) { promise->set_value(std::move(ended)); });
        return promise->get_future().get();
    }

    link::CallResult answerToItself(const FakeHub::Seen &seen)
    {
        std::string payload;
        this->member->call(OwnVm, *cell::unpack<cell::wire::Call>(seen.payload), [&payload](const cell::wire::ReplyT &reply) {
            payload = cell::pack<cell::wire::Reply>(reply);
        });
        return {ResultCode::Ok, true, payload};
    }

    support::TemporaryFolder folder;
    FakeHub hub{[this](const FakeHub::Seen &seen, std::size_t) { return this->answerToItself(seen); }};
    cell::CellCaller caller{hub, 7000, {OwnVm, "127.0.0.2", "127.0.0.3"}};
    support::ScriptedUpstreams upstreams;
    support::AllowAllAdvice allowAll;
    cell::AdviceDispatcher advice{OwnVm, hub, allowAll};
    std::unique_ptr<cell::CellMember> member;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CellMemberLookupTest)

/// Load pattern: the leader's disk fills up after two other members were lost. The leader leaves the group, and nobody takes its place.
BOOST_AUTO_TEST_CASE(aVmThatLedAndLeftTheGroupDoesNotNameItselfAsTheLeader)
{
    LoneMember lone;
    lone.caller.leaderAnnounced(OwnVm, 5);
    const cell::CallOutcome outcome = lone.lookUp();
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.reply.leader == "");
    lone.lookUp();
    BOOST_TEST(lone.caller.leader() == "");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    lone.lookUp();
    BOOST_TEST(!lone.caller.heardLeaderWithin(std::chrono::milliseconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
