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

constexpr std::chrono::seconds WaitLimit{20};

CallResult answerWith(const ZoneReply &reply)
{
    CallResult result;
    result.payload = zone::encodeReply(reply);
    return result;
}

CallResult linkLost(bool sent)
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

ZoneCall decodeCall(const FakeHub::Seen &seen)
{
    const std::optional<ZoneCall> call = zone::decodeCall(seen.payload);
    BOOST_REQUIRE(call.has_value());
    return *call;
}

SubmitCall decodeSubmit(const FakeHub::Seen &seen)
{
    return std::get<SubmitCall>(decodeCall(seen).body);
}

/// A dispatcher on VM a-1 of zone "a", in a deployment with a second zone "b", with scripted answers of other VMs.
class DispatcherFixture
{
public:
    explicit DispatcherFixture(FakeHub::Script script)
        : hub(std::move(script))
    {
        this->timers.start();
        this->receiveBeacon("a", "a-1", 1);
        this->receiveBeacon("b", "b-1", 1);
    }

    static routing::RoutingOptions ownOptions()
    {
        routing::RoutingOptions options;
        options.ownVm = "a-1";
        options.ownZone = "a";
        options.hasDisk = {{"a-1", true}, {"a-2", false}, {"b-1", true}};
        return options;
    }

    void receiveBeacon(const std::string &name, const std::string &leader, std::uint64_t epoch)
    {
        zone::Beacon beacon;
        beacon.zone = name;
        beacon.leader = leader;
        beacon.epoch = epoch;
        beacon.placing = true;
        this->directory.recordBeacon(beacon, base::steadyNow());
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
        BOOST_REQUIRE((future.wait_for(WaitLimit) == std::future_status::ready));
        return future.get();
    }

    FakeHub hub;
    routing::ZoneDirectory directory{{{"a", {"a-1", "a-2"}}, {"b", {"b-1", "b-2"}}}};
    base::Mailbox timers;
    routing::RoutedDispatcher dispatcher{ownOptions(), this->hub, this->directory, this->timers};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedDispatcherTest)

BOOST_AUTO_TEST_CASE(followsTheRedirectToTheNamedLeader)
{
    DispatcherFixture fixture([](const FakeHub::Seen &call, std::size_t) {
        ZoneReply reply = statusReply(JobState::Done, ResultCode::Ok);
        if (call.toVm != "a-2") {
            reply.code = ResultCode::NotLeader;
            reply.leader = "a-2";
        }
        return answerWith(reply);
    });
    BOOST_TEST((fixture.submit(DispatcherFixture::request()).status.state == JobState::Done));
    BOOST_TEST(fixture.hub.calls().back().toVm == "a-2");
    BOOST_TEST(!decodeSubmit(fixture.hub.calls().back()).mayExist);
}

BOOST_AUTO_TEST_CASE(lostAnswerIsFollowedByASubmitThatMayExist)
{
    DispatcherFixture fixture(
        [](const FakeHub::Seen &, std::size_t number) { return number == 1 ? linkLost(true) : answerWith(statusReply(JobState::Done, ResultCode::Ok)); });
    BOOST_TEST((fixture.submit(DispatcherFixture::request()).status.state == JobState::Done));
    const auto calls = fixture.hub.calls();
    BOOST_REQUIRE(calls.size() == 2U);
    BOOST_TEST(!decodeSubmit(calls[0]).mayExist);
    BOOST_TEST(decodeSubmit(calls[1]).mayExist);
    BOOST_TEST(decodeSubmit(calls[1]).spec.id == decodeSubmit(calls[0]).spec.id);
}

BOOST_AUTO_TEST_CASE(unsentWorkIsReportedAsNotRun)
{
    DispatcherFixture fixture([](const FakeHub::Seen &, std::size_t) { return linkLost(false); });
    const DispatchReply reply = fixture.submit(DispatcherFixture::request());
    BOOST_TEST((reply.status.state == JobState::NotRun));
    BOOST_TEST((reply.status.code == ResultCode::NoLeader));
}

BOOST_AUTO_TEST_CASE(sentButUnansweredWorkIsReportedAsUnknown)
{
    DispatcherFixture fixture([](const FakeHub::Seen &, std::size_t number) { return linkLost(number == 1); });
    const DispatchReply reply = fixture.submit(DispatcherFixture::request());
    BOOST_TEST((reply.status.state == JobState::Unknown));
    BOOST_TEST((reply.status.code == ResultCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(keyedWorkIsReportedAsNotRunWhileItsHomeZoneIsUnreachable)
{
    DispatcherFixture fixture([](const FakeHub::Seen &, std::size_t) { return linkLost(false); });
    JobSpec spec = DispatcherFixture::request();
    spec.id = "b-00000000000000ff";
    spec.key = "k";
    spec.repeatable = false;
    const DispatchReply reply = fixture.submit(spec);
    BOOST_TEST((reply.status.state == JobState::NotRun));
    BOOST_TEST((reply.status.code == ResultCode::HomeZoneUnreachable));
    for (const FakeHub::Seen &call : fixture.hub.calls()) {
        BOOST_TEST(decodeCall(call).zone == "b");
    }
}

BOOST_AUTO_TEST_CASE(workRefusedByOneZoneIsSentToAnother)
{
    DispatcherFixture fixture([](const FakeHub::Seen &call, std::size_t) {
        return answerWith(decodeCall(call).zone == "a" ? statusReply(JobState::NotRun, ResultCode::QueueFull) : statusReply(JobState::Done, ResultCode::Ok));
    });
    BOOST_TEST((fixture.submit(DispatcherFixture::request()).status.state == JobState::Done));
    BOOST_TEST(decodeSubmit(fixture.hub.calls().back()).spec.id == "b-00000000000000ff");
}

BOOST_AUTO_TEST_CASE(keyedWorkStaysInItsHomeZone)
{
    DispatcherFixture fixture([](const FakeHub::Seen &, std::size_t) { return answerWith(statusReply(JobState::NotRun, ResultCode::QueueFull)); });
    JobSpec spec = DispatcherFixture::request();
    spec.key = "k";
    BOOST_TEST((fixture.submit(spec).status.code == ResultCode::QueueFull));
    BOOST_TEST(fixture.hub.calls().size() == 1U);
}

BOOST_AUTO_TEST_CASE(workThatMayHaveRunIsSentToNoOtherZone)
{
    DispatcherFixture fixture([](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? linkLost(true) : answerWith(statusReply(JobState::Unknown, ResultCode::OutcomeUnknown));
    });
    BOOST_TEST((fixture.submit(DispatcherFixture::request()).status.state == JobState::Unknown));
    for (const FakeHub::Seen &call : fixture.hub.calls()) {
        BOOST_TEST(decodeCall(call).zone == "a");
    }
}

BOOST_AUTO_TEST_CASE(memberChangeCarriesDisksAndRefusesUnknownVms)
{
    DispatcherFixture fixture([](const FakeHub::Seen &, std::size_t) { return answerWith({}); });
    std::promise<ResultCode> changed;
    fixture.dispatcher.changeMembers("a", {"a-1", "a-2"}, "b-1", [&changed](ResultCode code, const std::string &) { changed.set_value(code); });
    BOOST_TEST((changed.get_future().get() == ResultCode::Ok));
    const ZoneCall sent = decodeCall(fixture.hub.calls().back());
    const auto &members = std::get<zone::MembersCall>(sent.body).members;
    BOOST_REQUIRE(members.size() == 3U);
    BOOST_TEST((members[0] == cranberryreel::replication::Member{"a-1", true, false}));
    BOOST_TEST((members[1] == cranberryreel::replication::Member{"a-2", false, false}));
    BOOST_TEST((members[2] == cranberryreel::replication::Member{"b-1", true, true}));
    std::promise<ResultCode> refused;
    fixture.dispatcher.changeMembers("a", {"a-9"}, "", [&refused](ResultCode code, const std::string &) { refused.set_value(code); });
    BOOST_TEST((refused.get_future().get() == ResultCode::UnknownVm));
}

BOOST_AUTO_TEST_CASE(largeAnswersAreDeliveredWhole)
{
    std::string whole(3 * zone::MaxPieceBytes + 7, ' ');
    for (std::size_t i = 0; i < whole.size(); ++i) {
        whole[i] = static_cast<char>('a' + i % 23);
    }
    DispatcherFixture fixture([&whole](const FakeHub::Seen &call, std::size_t) {
        ZoneReply reply = statusReply(JobState::Done, ResultCode::Ok);
        if (const ZoneCall asked = decodeCall(call); const auto *piece = std::get_if<zone::AnswerCall>(&asked.body)) {
            reply.piece = whole.substr(piece->offset, zone::MaxPieceBytes);
        } else {
            reply.status.answer = whole;
        }
        return answerWith(reply);
    });
    const DispatchReply reply = fixture.submit(DispatcherFixture::request());
    BOOST_TEST((reply.status.state == JobState::Done));
    BOOST_TEST((reply.status.answer == whole));
}

BOOST_AUTO_TEST_CASE(partialAnswerIsNeverDeliveredAsWhole)
{
    DispatcherFixture fixture([](const FakeHub::Seen &call, std::size_t) {
        ZoneReply reply = statusReply(JobState::Done, ResultCode::Ok);
        if (std::holds_alternative<zone::AnswerCall>(decodeCall(call).body)) {
            reply.code = ResultCode::NotFound;
        } else {
            reply.status.answer = std::string(zone::MaxPieceBytes + 1, 'x');
        }
        return answerWith(reply);
    });
    const DispatchReply reply = fixture.submit(DispatcherFixture::request());
    BOOST_TEST((reply.status.state == JobState::Unknown));
    BOOST_TEST(reply.status.answer.empty());
}

BOOST_AUTO_TEST_SUITE_END()
