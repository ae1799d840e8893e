#include "cell/AnnouncementFilter.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::AnnouncementFilter;

namespace
{

const base::SteadyTime Now = base::SteadyTime() + std::chrono::hours(1);

cell::wire::AnnouncementT announcement(std::uint64_t sequence)
{
    cell::wire::AnnouncementT announcement;
    announcement.upstream = support::upstream("u1", 8000);
    announcement.sequence = sequence;
    return announcement;
}

} // namespace

/// Load pattern: hundreds of upstreams send an unchanged announcement every 1.5 s.
BOOST_AUTO_TEST_SUITE(AnnouncementFilterTest)

BOOST_AUTO_TEST_CASE(unchangedAnnouncementsAreForwardedPeriodically)
{
    AnnouncementFilter filter;
    BOOST_TEST(filter.mustForward(announcement(1), "leader", Now));
    filter.recordForwarded(announcement(1), "leader", Now);
    BOOST_TEST(!filter.mustForward(announcement(2), "leader", Now + std::chrono::milliseconds(1500)));
    BOOST_TEST(filter.mustForward(announcement(4), "leader", Now + std::chrono::milliseconds(4500)));
}

BOOST_AUTO_TEST_CASE(changedAnnouncementsAreForwardedAtOnce)
{
    AnnouncementFilter filter;
    filter.recordForwarded(announcement(1), "leader", Now);
    cell::wire::AnnouncementT draining = announcement(2);
    draining.upstream->draining = true;
    BOOST_TEST(filter.mustForward(draining, "leader", Now));
    cell::wire::AnnouncementT restarted = announcement(2);
    restarted.upstream->born_ms = 99;
    BOOST_TEST(filter.mustForward(restarted, "leader", Now));
    BOOST_TEST(filter.mustForward(announcement(2), "another leader", Now));
    BOOST_TEST(filter.mustForward(announcement(2), "", Now));
    BOOST_TEST(filter.mustForward(announcement(1), "leader", Now)); // An old sequence number: the scheduler decides.
}

BOOST_AUTO_TEST_SUITE_END()
