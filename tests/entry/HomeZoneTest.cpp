#include "entry/HomeZone.h"

#include <boost/test/unit_test.hpp>

#include <map>

using cranberryreel::entry::HomeZone;

BOOST_AUTO_TEST_SUITE(HomeZoneTest)

BOOST_AUTO_TEST_CASE(workWithoutAKeyStaysInTheOwnZone)
{
    BOOST_TEST(HomeZone("b", {"a", "b", "c"}).of("north", "") == "b");
}

BOOST_AUTO_TEST_CASE(aKeyHasTheSameHomeAtEveryEntryVm)
{
    const HomeZone first("a", {"c", "a", "b"});
    const HomeZone second("b", {"b", "c", "a"});
    std::map<std::string, int> homes;
    for (int i = 0; i < 300; ++i) {
        const std::string key = "key-" + std::to_string(i);
        BOOST_TEST(first.of("north", key) == second.of("north", key));
        ++homes[first.of("north", key)];
    }
    BOOST_TEST(homes.size() == 3U);
    BOOST_TEST(first.of("north", "c:key") == "c");
    BOOST_TEST(first.of("north", "unknown:key") == second.of("north", "unknown:key"));
}

BOOST_AUTO_TEST_CASE(idsNameTheirZone)
{
    BOOST_TEST(HomeZone::zoneIn(HomeZone::newId("rey-1")) == "rey-1");
    BOOST_TEST(HomeZone::newId("a") != HomeZone::newId("a"));
    for (const char *text : {"", "a", "-0123456789abcdef", "a-0123456789abcde", "a-0123456789abcdeX", "a-0123456789ABCDEF"}) {
        BOOST_TEST(HomeZone::zoneIn(text).empty(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
