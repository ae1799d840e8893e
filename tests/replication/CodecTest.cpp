#include "TestSeed.h"

#include "replication/Codec.h"
#include "replication/Core.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cranberryreel;
using namespace cranberryreel::replication;

namespace
{

Message fullMessage()
{
    Message message;
    message.kind = MessageKind::Append;
    message.boot = 11;
    message.term = 1008;
    message.sequence = -5;
    message.index = 41;
    message.logTerm = 1007;
    message.commit = 40;
    message.granted = true;
    message.standing = Standing::Unproven;
    message.handoverTerm = 9;
    message.offset = 1;
    message.total = 2;
    message.data = std::string("a\0b", 3);
    message.entries = {Entry{42, 1008, EntryKind::Command, "one"}, Entry{43, 1008, EntryKind::Barrier, ""}};
    message.acknowledged = {{"a1", LogPosition{1007, 41}}};
    message.boots = {MemberBoot{"a2", 12}};
    return message;
}

std::string changed(std::string bytes, std::mt19937_64 &random)
{
    for (std::uint64_t change = 1 + random() % 6; change > 0; --change) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % 4 == 0 ? random() % bytes.size() : bytes.size());
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(decodingRestoresAMessage)
{
    const Message sent = fullMessage();
    const auto received = Codec::decodeMessage(Codec::encode(sent));
    BOOST_TEST_REQUIRE(received.has_value());
    BOOST_TEST(Codec::encode(*received) == Codec::encode(sent));
    BOOST_TEST(received->entries.size() == 2U);
    BOOST_TEST(received->sequence == -5);
    BOOST_TEST(received->data == sent.data);
    BOOST_TEST((received->acknowledged.at("a1") == LogPosition{1007, 41}));
}

BOOST_AUTO_TEST_CASE(aHeartbeatIsSmall)
{
    constexpr std::size_t LimitBytes = 160;
    Message message;
    message.kind = MessageKind::Append;
    message.boot = 1ULL << 60U;
    message.term = 1'800'000'000'000;
    message.sequence = 1LL << 60U;
    message.index = 1'000'000;
    message.logTerm = message.term;
    message.commit = message.index;
    message.total = message.index;
    BOOST_TEST(Codec::encode(message).size() <= LimitBytes);
}

BOOST_AUTO_TEST_CASE(aMembershipThatNamesAVmTwiceIsRefused)
{
    GroupRecord record;
    record.members = Membership({Member{"a1", false, false}, Member{"a2", false, false}});
    std::string bytes = Codec::encode(record);
    BOOST_TEST_REQUIRE(Codec::decodeRecord(bytes).has_value());
    bytes[bytes.find("a2") + 1] = '1';
    BOOST_TEST(!Codec::decodeRecord(bytes).has_value());
}

BOOST_AUTO_TEST_CASE(changedAndRandomBytesNeverCrashTheDecoder)
{
    constexpr int Rounds = 20'000;
    std::mt19937_64 random(testSeed());
    Snapshot snapshot;
    snapshot.index = 3;
    snapshot.record.members = Membership({Member{"a1", false, false}});
    const std::string message = Codec::encode(fullMessage());
    const std::string snapshotBytes = Codec::encode(snapshot);
    for (int round = 0; round < Rounds; ++round) {
        Codec::decodeMessage(changed(message, random));
        const std::string damaged = changed(snapshotBytes, random);
        BOOST_TEST_REQUIRE((damaged == snapshotBytes || !Codec::decodeSnapshot(damaged)));
        std::string noise(random() % 200, '\0');
        for (char &byte : noise) {
            byte = static_cast<char>(random());
        }
        Codec::decodeMessage(noise);
        Codec::decodeBatch(noise);
        Codec::decodeRecord(noise);
    }
}

BOOST_AUTO_TEST_CASE(anyDecodedMessageLeavesTheCoreRunning)
{
    constexpr int Rounds = 20'000;
    std::mt19937_64 random(testSeed());
    CoreOptions options;
    options.ownVm = "a1";
    options.boot = 1;
    options.members = Membership({Member{"a1", false, false}, Member{"a2", false, false}});
    const CoreSafety safety;
    base::SteadyTime now{std::chrono::hours(1)};
    Core core(options, Recovered(), safety, now);
    for (int round = 0; round < Rounds; ++round) {
        Message seed = fullMessage();
        seed.kind = static_cast<MessageKind>(random() % 15);
        seed.index = random() % 64;
        seed.term = random() % 8 == 0 ? 1008 + random() % 4 : seed.term;
        seed.entries.front().index = seed.index + 1;
        seed.entries.back().index = seed.index + 2;
        if (auto message = Codec::decodeMessage(changed(Codec::encode(seed), random)); message) {
            message->from = "a2";
            core.receive(*message, now);
        }
        now += std::chrono::milliseconds(random() % 20);
        core.tick(now);
        core.takeOutput();
    }
    BOOST_TEST(core.log().lastIndex() <= 1'000'000U);
}

BOOST_AUTO_TEST_SUITE_END()
