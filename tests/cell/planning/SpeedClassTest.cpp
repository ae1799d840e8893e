#include "cell/planning/SpeedClass.h"
#include "cell/planning/UrgentDemand.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel::cell::planning;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SpeedClassTest)

/// Guards against classes that the error of an estimate decides: a third of the upstreams at 1.7 and the others at 0.7, each off by up to a fifth.
BOOST_AUTO_TEST_CASE(estimatesThatAreOffByAFifthKeepTheirClass)
{
    const double reference = *referenceSpeed({0.7, 0.7, 1.7, 0.6, 0.8, 1.4, 0.7, 0.7, 1.9, 0.7, 0.7, 1.7});
    for (const double fast : {1.4, 1.7, 2.0}) {
        BOOST_TEST((speedClassOf(fast, reference) == SpeedClass::Fast));
    }
    for (const double slow : {0.56, 0.7, 0.84}) {
        BOOST_TEST((speedClassOf(slow, reference) == SpeedClass::Slow));
    }
    BOOST_TEST((speedClassOf(0.1, reference) == SpeedClass::Stalled));
}

/// Guards against placement by speed in a service whose upstreams are alike, next to one that is uneven, and for one slow upstream among many.
BOOST_AUTO_TEST_CASE(aServiceOfSimilarUpstreamsHasNoClasses)
{
    BOOST_TEST(!referenceSpeed({}).has_value());
    BOOST_TEST(!referenceSpeed({1.7}).has_value());
    BOOST_TEST(!referenceSpeed({0.8, 0.9, 1.0, 1.1, 1.2, 0.95}).has_value());
    BOOST_TEST(!referenceSpeed({1.0, 1.0, 1.0, 1.0, 1.0, 0.1}).has_value());
    BOOST_TEST(referenceSpeed({0.7, 1.7}).has_value());
}

/// Guards against a reserve that vanishes between two bursts, or stays for ever after the last one.
BOOST_AUTO_TEST_CASE(thePeakOfUrgentDemandDecays)
{
    UrgentDemand demand;
    const cranberryreel::base::SteadyTime start{};
    BOOST_TEST(demand.peak("s", start) == 0);
    demand.record("s", 8000, start);
    demand.record("s", 1000, start + 1s);
    BOOST_TEST(demand.peak("s", start + 20s) == 4000);
    BOOST_TEST(demand.peak("other", start) == 0);
    demand.record("s", 5000, start + 20s);
    BOOST_TEST(demand.peak("s", start + 20s) == 5000);
    BOOST_TEST(demand.peak("s", start + 600s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
