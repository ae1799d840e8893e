#include "support/Eventually.h"
#include "support/PlatformCell.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace cranberryreel;

namespace
{

constexpr int NestingDepth = 500000;

std::string announcement(const std::string &address, const std::string &clock, const std::string &sequence, const std::string &extra = {})
{
    return R"({"Service":"s","Address":")" + address
        + R"(","Zone":"z1","State":"ready","Capacity":{"Cpu":1000,"MemRequestMb":1000},"Labels":["a","r1"],"ClockMs":)" + clock + R"(,"Sequence":)" + sequence
        + R"(,"born":1700000000123)" + extra + "}";
}

std::string nested()
{
    return std::string(NestingDepth, '[') + std::string(NestingDepth, ']');
}

std::vector<std::string> oddBodies()
{
    std::string nestedObjects;
    for (int i = 0; i < NestingDepth; ++i) {
        nestedObjects += R"({"a":)";
    }
    return {
        std::string(NestingDepth, '['),
        nested(),
        nestedObjects + "1" + std::string(NestingDepth, '}'),
        announcement("127.0.0.1:9", "1", "1", R"(,"Labels":)" + nested()),
        announcement("127.0.0.1:99999", "1", "1"),
        announcement("127.0.0.1:65536", "1", "1"),
        announcement("127.0.0.1:0", "1", "1"),
        announcement("127.0.0.1:-1", "1", "1"),
        announcement("127.0.0.1:18446744073709551625", "1", "1"),
        announcement("127.0.0.1:9", "9223372036854775807", "1"),
        announcement("127.0.0.1:9", "9223372036854775808", "1"),
        announcement("127.0.0.1:9", "1e400", "1"),
        announcement("127.0.0.1:9", "1e300", "1"),
        announcement("127.0.0.1:9", "1", "18446744073709551616"),
        announcement("127.0.0.1:9", "1", "-1"),
        std::string("\xff\xfe\x00{", 4),
        "",
        "null",
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddAnnouncementTest)

/// Reported by operators of another system: one odd entry among those of the upstreams, deeply nested, with a number too large or a port out of range, ended
/// the processes that read the list again and again, or they no longer followed it.
BOOST_AUTO_TEST_CASE(oddAnnouncementsAreRefusedAndTheCellGoesOn)
{
    support::PlatformCell cell({3, 1, 1});
    const std::string vm = cell.diskVms().front();
    BOOST_REQUIRE(support::eventually([&] { return cell.putConfig(vm, 5) == 200; }));
    BOOST_REQUIRE(cell.announce(vm, "i-sound", announcement("127.0.0.1:9", "1000", "1")) == 200);
    // A field that is not known is left out, whatever it holds.
    BOOST_TEST(cell.announce(vm, "i-extra", announcement("127.0.0.1:9", "1", "1", R"(,"Other":)" + nested())) == 200);
    int number = 0;
    for (const std::string &body : oddBodies()) {
        const long status = cell.announce(vm, "i-odd" + std::to_string(++number), body);
        BOOST_TEST(status == 400, "body " << number << " was answered " << status);
    }
    for (const std::string &each : cell.diskVms()) {
        BOOST_TEST(cell.running(each));
    }
    // The list goes on to be followed, also by processes that read it back after a restart.
    BOOST_TEST(cell.announce(vm, "i-sound", announcement("127.0.0.1:10", "2000", "2")) == 200);
    for (const std::string &each : cell.diskVms()) {
        cell.kill(each);
    }
    for (const std::string &each : cell.diskVms()) {
        cell.start(each);
    }
    BOOST_TEST(support::eventually([&] { return cell.putConfig(vm, 6) == 200; }));
    BOOST_TEST(cell.announce(vm, "i-sound", announcement("127.0.0.1:11", "3000", "3")) == 200);
    for (const std::string &each : cell.diskVms()) {
        BOOST_TEST(cell.running(each));
    }
}

BOOST_AUTO_TEST_SUITE_END()
