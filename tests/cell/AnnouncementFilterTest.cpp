#include "cell/AnnouncementFilter.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::AnnouncementFilter;

namespace
{

const base::SteadyTime Now = base::SteadyTime() + std::chrono::hours(1);

cell::wire::AnnouncementT said(std::uint64_t sequence)
{
    cell::wire::AnnouncementT announcement;
    announcement.upstream = support::upstream("u1", 8000);
    announcement.sequence = sequence;
    return announcement;
}

} // namespace

/// Load pattern: hundreds of upstreams that say the same every 1.5 s.
BOOST_AUTO_TEST_SUITE(AnnouncementFilterTest)

BOOST_AUTO_TEST_CASE(theSameIsToldOnceInAWhile)
{
    AnnouncementFilter filter;
    BOOST_TEST(filter.isNews(said(1), "leader", Now));
    filter.told(said(1), "leader", Now);
    BOOST_TEST(!filter.isNews(said(2), "leader", Now + std::chrono::milliseconds(1500)));
    BOOST_TEST(filter.isNews(said(4), "leader", Now + std::chrono::milliseconds(4500)));
}

BOOST_AUTO_TEST_CASE(whateverDiffersIsToldAtOnce)
{
    AnnouncementFilter filter;
    filter.told(said(1), "leader", Now);
    cell::wire::AnnouncementT draining = said(2);
    draining.upstream->draining = true;
    BOOST_TEST(filter.isNews(draining, "leader", Now));
    cell::wire::AnnouncementT reborn = said(2);
    reborn.upstream->born_ms = 99;
    BOOST_TEST(filter.isNews(reborn, "leader", Now));
    BOOST_TEST(filter.isNews(said(2), "another leader", Now));
    BOOST_TEST(filter.isNews(said(2), "", Now));
    BOOST_TEST(filter.isNews(said(1), "leader", Now)); // A late one: the scheduler decides.
}

BOOST_AUTO_TEST_SUITE_END()
