#include "cranberryreel/model/Resources.h"

#include <boost/test/unit_test.hpp>

using cranberryreel::model::Resources;

BOOST_AUTO_TEST_SUITE(ResourcesTest)

BOOST_AUTO_TEST_CASE(fitsOnlyIfEveryResourceFits)
{
    const Resources available{4000, 8192, 1};
    BOOST_TEST((Resources{4000, 8192, 1}.fitsIn(available)));
    BOOST_TEST(!(Resources{4001, 1, 0}.fitsIn(available)));
    BOOST_TEST(!(Resources{1, 8193, 0}.fitsIn(available)));
    BOOST_TEST(!(Resources{1, 1, 2}.fitsIn(available)));
}

BOOST_AUTO_TEST_CASE(largerComparesEachResourceSeparately)
{
    const Resources larger = Resources::larger({1000, 4096, 0}, {2000, 1024, 1});
    BOOST_TEST((larger == Resources{2000, 4096, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
