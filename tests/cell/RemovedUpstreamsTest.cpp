#include "cell/RemovedUpstreams.h"

#include "cell/CellSamples.h"
#include "cell/CellState.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::CellState;
using cell::RemovedUpstreams;

namespace
{

void remove(CellState &state, const std::string &id)
{
    auto change = support::upstream(id, 8000);
    change->gone = true;
    state.apply(support::announce(std::move(change)));
}

bool recordsLongLease(const CellState &state, const std::string &id)
{
    return state.upstreamNamed(id)->long_lease;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RemovedUpstreamsTest)

/// Failure: the record of an upstream that came back under its id did not tell that a renewal of its earlier life may have reached it.
BOOST_AUTO_TEST_CASE(theRecordOfAReturnedUpstreamTellsOfALongLease)
{
    CellState state;
    state.apply(support::announce(support::upstream("u1", 8000)));
    BOOST_TEST(!recordsLongLease(state, "u1"));
    remove(state, "u1");
    state.apply(support::announce(support::upstream("u1", 8000)));
    BOOST_TEST(recordsLongLease(state, "u1"));
    state.apply(support::announce(support::upstream("u1", 8000))); // The leader has seen all leases of the earlier life expire.
    BOOST_TEST(!recordsLongLease(state, "u1"));
}

BOOST_AUTO_TEST_CASE(aRemovalIsKnownAfterASnapshot)
{
    CellState state;
    state.apply(support::announce(support::upstream("u1", 8000)));
    remove(state, "u1");
    CellState restored = CellState::decode(state.encode());
    restored.apply(support::announce(support::upstream("u1", 8000)));
    restored.apply(support::announce(support::upstream("u2", 8000)));
    BOOST_TEST(recordsLongLease(restored, "u1"));
    BOOST_TEST(!recordsLongLease(restored, "u2"));
}

BOOST_AUTO_TEST_CASE(theOldestRemovalIsForgottenAtTheLimit)
{
    RemovedUpstreams removed;
    for (std::size_t i = 0; i <= RemovedUpstreams::Limit; ++i) {
        removed.add("u" + std::to_string(i));
        removed.add("u1"); // Becomes the latest each time.
    }
    BOOST_TEST(removed.ids().size() == RemovedUpstreams::Limit);
    BOOST_TEST(!removed.take("u0"));
    BOOST_TEST(removed.take("u1"));
    BOOST_TEST(!removed.take("u1"));
    BOOST_TEST(removed.ids().front() == "u2");
}

BOOST_AUTO_TEST_SUITE_END()
