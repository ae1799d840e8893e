#include "cranberryreel/model/Resources.h"

#include <boost/test/unit_test.hpp>

using cranberryreel::model::Resources;

BOOST_AUTO_TEST_SUITE(ResourcesTest)

BOOST_AUTO_TEST_CASE(fitsOnlyWhenEveryDimensionFits)
{
    const Resources room{4000, 8192, 1};
    BOOST_TEST((Resources{4000, 8192, 1}.fitsIn(room)));
    BOOST_TEST(!(Resources{4001, 1, 0}.fitsIn(room)));
    BOOST_TEST(!(Resources{1, 8193, 0}.fitsIn(room)));
    BOOST_TEST(!(Resources{1, 1, 2}.fitsIn(room)));
}

BOOST_AUTO_TEST_CASE(largerTakesEachDimensionOnItsOwn)
{
    const Resources both = Resources::larger({1000, 4096, 0}, {2000, 1024, 1});
    BOOST_TEST((both == Resources{2000, 4096, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
