#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

std::unique_ptr<cell::wire::RulesT> rulesWithSlowAdvice()
{
    auto rules = support::rules(2);
    rules->queues.back()->advice = std::make_unique<cell::wire::AdviceT>();
    rules->queues.back()->advice->decision_us = 170000;
    rules->queues.back()->advice->valid_ms = 2000;
    return rules;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowAdviceTest)

/// Failure: with four linked VMs or fewer, work that needs slow advice was accepted and never started, since all of them were kept for quick queries.
BOOST_AUTO_TEST_CASE(workThatNeedsSlowAdviceStartsOnACellOfOneVm)
{
    CellRig rig;
    rig.putRules(rulesWithSlowAdvice());
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000), "wide"));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 1; }, milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
