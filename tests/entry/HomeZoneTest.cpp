#include "entry/HomeZone.h"

#include <boost/test/unit_test.hpp>

#include <map>

using cranberryreel::entry::HomeZone;

BOOST_AUTO_TEST_SUITE(HomeZoneTest)

BOOST_AUTO_TEST_CASE(workWithoutKeyStaysInTheOwnZone)
{
    BOOST_TEST(HomeZone("b", {"a", "b", "c"}).zoneFor("north", "") == "b");
}

BOOST_AUTO_TEST_CASE(everyEntryVmMapsAKeyToTheSameZone)
{
    const HomeZone first("a", {"c", "a", "b"});
    const HomeZone second("b", {"b", "c", "a"});
    std::map<std::string, int> homes;
    for (int i = 0; i < 300; ++i) {
        const std::string key = "key-" + std::to_string(i);
        BOOST_TEST(first.zoneFor("north", key) == second.zoneFor("north", key));
        ++homes[first.zoneFor("north", key)];
    }
    BOOST_TEST(homes.size() == 3U);
    BOOST_TEST(first.zoneFor("north", "c:key") == "c");
    BOOST_TEST(first.zoneFor("north", "unknown:key") == second.zoneFor("north", "unknown:key"));
}

BOOST_AUTO_TEST_CASE(idsContainTheirZone)
{
    BOOST_TEST(HomeZone::zoneFromId(HomeZone::newJobId("rey-1")) == "rey-1");
    BOOST_TEST(HomeZone::newJobId("a") != HomeZone::newJobId("a"));
    for (const char *text : {"", "a", "-0123456789abcdef", "a-0123456789abcde", "a-0123456789abcdeX", "a-0123456789ABCDEF"}) {
        BOOST_TEST(HomeZone::zoneFromId(text).empty(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
