#include "link/FrameReader.h"
#include "link/Frames.h"
#include "link/Handshake.h"

#include "support/Seed.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cranberryreel;
using namespace cranberryreel::link;

namespace
{

constexpr std::size_t LimitBytes = 4096;

std::string randomBytes(std::mt19937 &random, std::size_t longest)
{
    std::string bytes(random() % (longest + 1), '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

std::string mutated(std::mt19937 &random, std::string bytes)
{
    for (std::size_t i = 0; i < 1 + random() % 4 && !bytes.empty(); ++i) {
        bytes.at(random() % bytes.size()) = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
        bytes.resize(random() % (bytes.size() + 1));
    }
    return bytes;
}

/// Reads all complete frames as a link does and returns the number of accepted calls and messages.
std::size_t readFrames(FrameReader &reader)
{
    std::size_t accepted = 0;
    while (const std::optional<std::string> body = reader.next()) {
        const wire::Frame &frame = parseFrame(*body);
        if (const wire::Call *call = frame.body_as_Call()) {
            accepted += readBytes(call->payload()).size() + readString(call->traceparent()).size() > 0 ? 1 : 0;
        } else if (const wire::Message *message = frame.body_as_Message()) {
            accepted += readBytes(message->payload()).empty() ? 0 : 1;
        }
    }
    return accepted;
}

template<typename Act>
bool refuses(Act act)
{
    try {
        act();
        return false;
    } catch (const base::Error &) {
        return true;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrameGarbageTest)

BOOST_AUTO_TEST_CASE(framesCutAtAnyByteAreReadWhole)
{
    const std::string stream = callFrame(Channel::Zone, 7, "trace", "payload") + messageFrame(Channel::Gossip, "note");
    FrameReader reader(LimitBytes);
    std::size_t accepted = 0;
    for (const char byte : stream) {
        reader.append({&byte, 1});
        accepted += readFrames(reader);
    }
    BOOST_TEST(accepted == 2U);
    BOOST_TEST(reader.bufferedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(invalidDeclaredLengthsAreRefused)
{
    FrameReader reader(LimitBytes);
    reader.append(std::string("\xff\xff\xff\x7f", 4));
    BOOST_TEST(refuses([&] { reader.next(); }));
    FrameReader zero(LimitBytes);
    zero.append(std::string(4, '\0'));
    BOOST_TEST(refuses([&] { zero.next(); }));
}

BOOST_AUTO_TEST_CASE(randomAndMutatedBytesAreRefusedWithoutACrash)
{
    BOOST_TEST_MESSAGE("seed: " << support::testSeed());
    std::mt19937 random(support::testSeed());
    std::size_t refusals = 0;
    for (int round = 0; round < 100000; ++round) {
        const std::string whole = callFrame(Channel::Zone, random(), "00-trace", randomBytes(random, 64)) + messageFrame(Channel::Config, "note");
        FrameReader reader(LimitBytes);
        reader.append(random() % 4 == 0 ? randomBytes(random, 256) : mutated(random, whole));
        refusals += refuses([&] { readFrames(reader); }) ? 1 : 0;
        BOOST_TEST_REQUIRE(reader.bufferedBytes() <= LimitBytes);
    }
    BOOST_TEST(refusals > 0U);
}

BOOST_AUTO_TEST_CASE(handshakesRefuseRandomAndMutatedFrames)
{
    std::mt19937 random(support::testSeed());
    const HandshakeContext context{"test", "b", {"key", ""}, [](const std::string &) { return true; }};
    const HandshakeContext other{"test", "a", {"key", ""}, [](const std::string &) { return true; }};
    for (int round = 0; round < 20000; ++round) {
        const auto dialer = dialerHandshake(other, "b");
        const auto acceptor = acceptorHandshake(context);
        refuses([&] {
            const std::string hello = mutated(random, dialer->firstFrame().substr(FrameReader::HeaderBytes));
            const std::optional<std::string> challenge = acceptor->receive(hello);
            const std::optional<std::string> proof = dialer->receive(mutated(random, challenge->substr(FrameReader::HeaderBytes)));
            acceptor->receive(randomBytes(random, 200));
        });
        BOOST_TEST_REQUIRE(!acceptor->complete());
        BOOST_TEST_REQUIRE(!dialer->complete());
    }
}

BOOST_AUTO_TEST_SUITE_END()
