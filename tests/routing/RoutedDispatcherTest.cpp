#include "routing/RoutedDispatcher.h"
#include "support/FakeHub.h"
#include "zone/CallCodec.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>

using cranberryreel::base::ResultCode;
using cranberryreel::entry::DispatchReply;
using cranberryreel::link::CallResult;
using cranberryreel::model::JobSpec;
using cranberryreel::model::JobState;
using cranberryreel::testsupport::FakeHub;
using cranberryreel::zone::SubmitCall;
using cranberryreel::zone::ZoneCall;
using cranberryreel::zone::ZoneReply;
namespace base = cranberryreel::base;
namespace routing = cranberryreel::routing;
namespace zone = cranberryreel::zone;

namespace
{

constexpr std::chrono::seconds Patience{20};

CallResult answered(const ZoneReply &reply)
{
    CallResult result;
    result.payload = zone::encodeReply(reply);
    return result;
}

CallResult lost(bool sent)
{
    CallResult result;
    result.code = ResultCode::LinkDown;
    result.sent = sent;
    return result;
}

ZoneReply statusReply(JobState state, ResultCode code)
{
    ZoneReply reply;
    reply.status.state = state;
    reply.status.code = code;
    return reply;
}

ZoneCall decoded(const FakeHub::Seen &seen)
{
    const std::optional<ZoneCall> call = zone::decodeCall(seen.payload);
    BOOST_REQUIRE(call.has_value());
    return *call;
}

SubmitCall submitOf(const FakeHub::Seen &seen)
{
    return std::get<SubmitCall>(decoded(seen).body);
}

/// A dispatcher of VM a-1 in zone "a", with a zone "b" besides, over a scripted hub.
class Rig
{
public:
    explicit Rig(FakeHub::Script script)
        : hub(std::move(script))
    {
        this->timers.start();
        this->hear("a", "a-1", 1);
        this->hear("b", "b-1", 1);
    }

    static routing::RoutingOptions ownPlace()
    {
        routing::RoutingOptions options;
        options.ownVm = "a-1";
        options.ownZone = "a";
        options.hasDisk = {{"a-1", true}, {"a-2", false}, {"b-1", true}};
        return options;
    }

    void hear(const std::string &name, const std::string &leader, std::uint64_t epoch)
    {
        zone::Beacon beacon;
        beacon.zone = name;
        beacon.leader = leader;
        beacon.epoch = epoch;
        beacon.placing = true;
        this->directory.heard(beacon, base::steadyNow());
    }

    static JobSpec request()
    {
        JobSpec spec;
        spec.id = "a-00000000000000ff";
        spec.deadline = std::chrono::milliseconds(400);
        return spec;
    }

    DispatchReply submit(const JobSpec &spec)
    {
        std::promise<DispatchReply> reply;
        this->dispatcher.submit(spec, {}, [&reply](const DispatchReply &given) { reply.set_value(given); });
        std::future<DispatchReply> future = reply.get_future();
        BOOST_REQUIRE((future.wait_for(Patience) == std::future_status::ready));
        return future.get();
    }

    FakeHub hub;
    routing::ZoneDirectory directory{{{"a", {"a-1", "a-2"}}, {"b", {"b-1", "b-2"}}}};
    base::Mailbox timers;
    routing::RoutedDispatcher dispatcher{ownPlace(), this->hub, this->directory, this->timers};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedDispatcherTest)

BOOST_AUTO_TEST_CASE(followsTheLeaderWhoIsNamed)
{
    Rig rig([](const FakeHub::Seen &call, std::size_t) {
        ZoneReply reply = statusReply(JobState::Done, ResultCode::Ok);
        if (call.toVm != "a-2") {
            reply.code = ResultCode::NotLeader;
            reply.leader = "a-2";
        }
        return answered(reply);
    });
    BOOST_TEST((rig.submit(Rig::request()).status.state == JobState::Done));
    BOOST_TEST(rig.hub.calls().back().toVm == "a-2");
    BOOST_TEST(!submitOf(rig.hub.calls().back()).mayExist);
}

BOOST_AUTO_TEST_CASE(afterALostAnswerTheSameWorkIsSubmittedAsMaybeKnown)
{
    Rig rig([](const FakeHub::Seen &, std::size_t number) { return number == 1 ? lost(true) : answered(statusReply(JobState::Done, ResultCode::Ok)); });
    BOOST_TEST((rig.submit(Rig::request()).status.state == JobState::Done));
    const auto calls = rig.hub.calls();
    BOOST_REQUIRE(calls.size() == 2U);
    BOOST_TEST(!submitOf(calls[0]).mayExist);
    BOOST_TEST(submitOf(calls[1]).mayExist);
    BOOST_TEST(submitOf(calls[1]).spec.id == submitOf(calls[0]).spec.id);
}

BOOST_AUTO_TEST_CASE(whatNeverLeftTheVmDidNotRun)
{
    Rig rig([](const FakeHub::Seen &, std::size_t) { return lost(false); });
    const DispatchReply reply = rig.submit(Rig::request());
    BOOST_TEST((reply.status.state == JobState::NotRun));
    BOOST_TEST((reply.status.code == ResultCode::NoLeader));
}

BOOST_AUTO_TEST_CASE(whatLeftTheVmAndWasNeverAnsweredIsUnknown)
{
    Rig rig([](const FakeHub::Seen &, std::size_t number) { return lost(number == 1); });
    const DispatchReply reply = rig.submit(Rig::request());
    BOOST_TEST((reply.status.state == JobState::Unknown));
    BOOST_TEST((reply.status.code == ResultCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(keyedWorkOfAnUnreachableHomeIsRefusedAsNotRunByThisAttempt)
{
    Rig rig([](const FakeHub::Seen &, std::size_t) { return lost(false); });
    JobSpec spec = Rig::request();
    spec.id = "b-00000000000000ff";
    spec.key = "k";
    spec.repeatable = false;
    const DispatchReply reply = rig.submit(spec);
    BOOST_TEST((reply.status.state == JobState::NotRun));
    BOOST_TEST((reply.status.code == ResultCode::HomeZoneUnreachable));
    for (const FakeHub::Seen &call : rig.hub.calls()) {
        BOOST_TEST(decoded(call).zone == "b");
    }
}

BOOST_AUTO_TEST_CASE(workThatOneZoneRefusedGoesToAnother)
{
    Rig rig([](const FakeHub::Seen &call, std::size_t) {
        return answered(decoded(call).zone == "a" ? statusReply(JobState::NotRun, ResultCode::QueueFull) : statusReply(JobState::Done, ResultCode::Ok));
    });
    BOOST_TEST((rig.submit(Rig::request()).status.state == JobState::Done));
    BOOST_TEST(submitOf(rig.hub.calls().back()).spec.id == "b-00000000000000ff");
}

BOOST_AUTO_TEST_CASE(keyedWorkStaysInItsHomeZone)
{
    Rig rig([](const FakeHub::Seen &, std::size_t) { return answered(statusReply(JobState::NotRun, ResultCode::QueueFull)); });
    JobSpec spec = Rig::request();
    spec.key = "k";
    BOOST_TEST((rig.submit(spec).status.code == ResultCode::QueueFull));
    BOOST_TEST(rig.hub.calls().size() == 1U);
}

BOOST_AUTO_TEST_CASE(workThatMayHaveRunGoesToNoOtherZone)
{
    Rig rig([](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? lost(true) : answered(statusReply(JobState::Unknown, ResultCode::OutcomeUnknown));
    });
    BOOST_TEST((rig.submit(Rig::request()).status.state == JobState::Unknown));
    for (const FakeHub::Seen &call : rig.hub.calls()) {
        BOOST_TEST(decoded(call).zone == "a");
    }
}

BOOST_AUTO_TEST_CASE(membersAreNamedWithTheirDisksAndUnknownVmsAreRefused)
{
    Rig rig([](const FakeHub::Seen &, std::size_t) { return answered({}); });
    std::promise<ResultCode> changed;
    rig.dispatcher.changeMembers("a", {"a-1", "a-2"}, "b-1", [&changed](ResultCode code, const std::string &) { changed.set_value(code); });
    BOOST_TEST((changed.get_future().get() == ResultCode::Ok));
    const ZoneCall sent = decoded(rig.hub.calls().back());
    const auto &members = std::get<zone::MembersCall>(sent.body).members;
    BOOST_REQUIRE(members.size() == 3U);
    BOOST_TEST((members[0] == cranberryreel::replication::Member{"a-1", true, false}));
    BOOST_TEST((members[1] == cranberryreel::replication::Member{"a-2", false, false}));
    BOOST_TEST((members[2] == cranberryreel::replication::Member{"b-1", true, true}));
    std::promise<ResultCode> refused;
    rig.dispatcher.changeMembers("a", {"a-9"}, "", [&refused](ResultCode code, const std::string &) { refused.set_value(code); });
    BOOST_TEST((refused.get_future().get() == ResultCode::UnknownVm));
}

BOOST_AUTO_TEST_CASE(largeAnswersArriveWhole)
{
    std::string whole(3 * zone::MaxPieceBytes + 7, ' ');
    for (std::size_t i = 0; i < whole.size(); ++i) {
        whole[i] = static_cast<char>('a' + i % 23);
    }
    Rig rig([&whole](const FakeHub::Seen &call, std::size_t) {
        ZoneReply reply = statusReply(JobState::Done, ResultCode::Ok);
        if (const ZoneCall asked = decoded(call); const auto *piece = std::get_if<zone::AnswerCall>(&asked.body)) {
            reply.piece = whole.substr(piece->offset, zone::MaxPieceBytes);
        } else {
            reply.status.answer = whole;
        }
        return answered(reply);
    });
    const DispatchReply reply = rig.submit(Rig::request());
    BOOST_TEST((reply.status.state == JobState::Done));
    BOOST_TEST((reply.status.answer == whole));
}

BOOST_AUTO_TEST_CASE(partOfAnAnswerIsNeverGivenForTheWhole)
{
    Rig rig([](const FakeHub::Seen &call, std::size_t) {
        ZoneReply reply = statusReply(JobState::Done, ResultCode::Ok);
        if (std::holds_alternative<zone::AnswerCall>(decoded(call).body)) {
            reply.code = ResultCode::NotFound;
        } else {
            reply.status.answer = std::string(zone::MaxPieceBytes + 1, 'x');
        }
        return answered(reply);
    });
    const DispatchReply reply = rig.submit(Rig::request());
    BOOST_TEST((reply.status.state == JobState::Unknown));
    BOOST_TEST(reply.status.answer.empty());
}

BOOST_AUTO_TEST_SUITE_END()
