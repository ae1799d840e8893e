#include "http/ConnectionCap.h"

#include <boost/test/unit_test.hpp>

using cranberryreel::http::connectionCap;

BOOST_AUTO_TEST_SUITE(ConnectionCapTest)

BOOST_AUTO_TEST_CASE(leavesFilesForOtherUses)
{
    BOOST_TEST(connectionCap(4000, 1'000'000) == 4000U);
    BOOST_TEST(connectionCap(4000, 1024) == 512U);
    BOOST_TEST(connectionCap(4000, 100) == 64U);
    BOOST_TEST(connectionCap(10, 1024) == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
