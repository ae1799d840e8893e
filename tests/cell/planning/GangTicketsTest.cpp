#include "cell/PlannedCell.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using support::PlannedCell;

namespace
{

/// A gang of three on three upstreams that are free, with tickets for two of them; a query takes 442 ms.
struct GangWithTickets {
    PlannedCell cell;
    cell::StepKey step;

    explicit GangWithTickets(milliseconds firstTicketLeft)
    {
        auto rules = support::rules(2);
        rules->queues.back()->advice = std::make_unique<cell::wire::AdviceT>();
        rules->queues.back()->advice->decision_us = 430000;
        rules->queues.back()->advice->per_upstream_us = 4000;
        rules->queues.back()->advice->valid_ms = 2000;
        this->cell.state.apply(support::put(std::move(rules)));
        for (int i = 1; i <= 3; ++i) {
            this->cell.addUpstream("u" + std::to_string(i), 64000);
        }
        auto gang = support::step(3, 33000);
        gang->gang = true;
        this->step = {this->cell.accept(support::job("gang", std::move(gang), "wide")), 0, 0};
        this->cell.addTickets(this->step, {1, 2, 3});
        auto &allowed = this->cell.advice.adviceFor(this->step).allowed;
        allowed.at(1).placeUntil = this->cell.now + firstTicketLeft;
        allowed.at(3).placeUntil = this->cell.now; // Has run out.
    }

    std::vector<std::uint64_t> askedUpstreams()
    {
        const auto plan = this->cell.plan();
        return plan.adviceQueries.empty() ? std::vector<std::uint64_t>() : plan.adviceQueries.front().upstreams;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GangTicketsTest)

/// Failure: a gang alone on a free service asked for one ticket after the other as they ran out, for a minute, and never had all of them at once.
BOOST_AUTO_TEST_CASE(aGangAsksAgainForTicketsThatRunOutBeforeTheAnswer)
{
    GangWithTickets gang(milliseconds(400));
    const std::vector<std::uint64_t> expected{1, 3};
    const auto asked = gang.askedUpstreams();
    BOOST_TEST(asked == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aGangDoesNotAskAgainForTicketsThatLast)
{
    GangWithTickets gang(milliseconds(1500));
    const std::vector<std::uint64_t> expected{3};
    const auto asked = gang.askedUpstreams();
    BOOST_TEST(asked == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
