#include "link/Outbox.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;

BOOST_AUTO_TEST_SUITE(OutboxTest)

/// Failure: a process that went on after it stood still flushed the calls that waited in its links before it ended those whose limit had passed, so that they
/// were carried out although their callers had given them up.
BOOST_AUTO_TEST_CASE(aCallPastItsDeadlineIsNotSent)
{
    link::Outbox box{link::LinkLimits()};
    box.open(1);
    std::optional<link::CallResult> late;
    const base::SteadyTime now = base::steadyNow();
    BOOST_TEST(!box.pushCall(1, "late", now + std::chrono::milliseconds(100), [&late](const link::CallResult &result) { late = result; }));
    BOOST_TEST(!box.pushCall(2, "early", now + std::chrono::milliseconds(1000), [](const link::CallResult &) {}));
    BOOST_TEST(box.push("message"));
    std::string output;
    box.takeFrames(1000, output, now + std::chrono::milliseconds(200));
    BOOST_TEST(output == "earlymessage");
    link::endCalls(box.expire(now + std::chrono::milliseconds(200)));
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(!late->sent);
    link::endCalls(box.close());
}

/// Failure: the same for a call to the own VM, which takes no connection.
BOOST_AUTO_TEST_CASE(aLocalCallPastItsDeadlineIsNotDelivered)
{
    link::Outbox box{link::LinkLimits()};
    box.open(1);
    std::optional<link::CallResult> late;
    const base::SteadyTime now = base::steadyNow();
    BOOST_TEST(!box.pushCall(1, {}, now + std::chrono::milliseconds(100), [&late](const link::CallResult &result) { late = result; }));
    BOOST_TEST(!box.markSent(1, now + std::chrono::milliseconds(200)));
    link::endCalls(box.expire(now + std::chrono::milliseconds(200)));
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(!late->sent);
}

BOOST_AUTO_TEST_SUITE_END()
