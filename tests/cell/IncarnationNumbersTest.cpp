#include "cell/IncarnationNumbers.h"

#include <boost/test/unit_test.hpp>

#include <string>

using cranberryreel::cell::IncarnationNumbers;

BOOST_AUTO_TEST_SUITE(IncarnationNumbersTest)

BOOST_AUTO_TEST_CASE(numbersOfOneIdRiseAndOthersKeepTheirOwn)
{
    IncarnationNumbers numbers;
    BOOST_TEST(numbers.next("u1") == 1U);
    BOOST_TEST(numbers.next("u1") == 2U);
    BOOST_TEST(numbers.next("u2") == 1U);
    BOOST_TEST(numbers.next("u1") == 3U);
}

/// Guards the bound of the memory: an id that is no longer remembered must not get a number again that its upstream refuses as too low.
BOOST_AUTO_TEST_CASE(numbersRiseForIdsThatAreNoLongerRemembered)
{
    constexpr int Ids = 10000;
    IncarnationNumbers numbers;
    for (int i = 0; i < Ids; ++i) {
        numbers.next("u" + std::to_string(i));
        numbers.next("u" + std::to_string(i));
    }
    for (int i = 0; i < Ids; ++i) {
        BOOST_TEST_REQUIRE(numbers.next("u" + std::to_string(i)) > 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
