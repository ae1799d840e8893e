#define BOOST_TEST_MODULE cranberryreel
#include <boost/test/unit_test.hpp>
