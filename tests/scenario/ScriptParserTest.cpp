#include "scenario/ScriptParser.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using namespace cranberryreel::scenario;

namespace
{

template<typename Expected>
Expected parseSingle(const std::string &text)
{
    const Script script = parseScript("test", text);
    BOOST_TEST_REQUIRE(script.lines.size() == 1U);
    return boost::get<Expected>(script.lines.front().step);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ScriptParserTest)

BOOST_AUTO_TEST_CASE(parsesCluster)
{
    const auto zone = parseSingle<ZoneStep>("zone z1: z1a disk, z1b   # a comment");
    BOOST_TEST(zone.zone == "z1");
    BOOST_TEST_REQUIRE(zone.members.size() == 2U);
    BOOST_TEST(zone.members.at(0).hasDisk);
    BOOST_TEST(!zone.members.at(1).hasDisk);
    const auto upstream = parseSingle<UpstreamStep>("upstream u1 in z1 slots 4");
    BOOST_TEST(upstream.slots.value() == 4U);
    BOOST_TEST(!parseSingle<UpstreamStep>("upstream u1 in z1").slots.has_value());
}

BOOST_AUTO_TEST_CASE(parsesFaults)
{
    const auto kill = parseSingle<ActionStep>("kill leader of zone z1");
    BOOST_TEST((kill.action == Action::Kill && kill.place.kind == PlaceKind::Leader));
    BOOST_TEST((parseSingle<ActionStep>("roll back disk of z1a").action == Action::RollBackDisk));
    BOOST_TEST((parseSingle<ActionStep>("start every vm").place.kind == PlaceKind::EveryVm));
    const auto cut = parseSingle<LinkStep>("cut one way zone z1 to the rest");
    BOOST_TEST((cut.action == LinkAction::CutOneWay && cut.left.kind == PlaceKind::Zone && cut.right.kind == PlaceKind::Rest));
    BOOST_TEST((parseSingle<LinkStep>("cut z1a from z2a").action == LinkAction::Cut));
}

BOOST_AUTO_TEST_CASE(parsesWork)
{
    const auto submit = parseSingle<SubmitStep>("submit quote at z1a count 10 running 2 s kept by z2 once");
    BOOST_TEST((submit.name == "quote" && submit.count.value() == 10U && submit.options.once));
    BOOST_TEST((submit.options.running.value() == Milliseconds(2000) && submit.options.keyZone.value() == "z2"));
    const auto load = parseSingle<LoadStep>("load stream at zone z1 every 20 ms");
    BOOST_TEST((load.every == Milliseconds(20) && !load.options.once));
}

BOOST_AUTO_TEST_CASE(parsesExpectations)
{
    const auto expect = parseSingle<ExpectStep>("within 4 s expect leader of zone z1 is not old");
    BOOST_TEST((expect.within.value() == Milliseconds(4000)));
    BOOST_TEST(boost::get<LeaderCondition>(expect.condition).negated);
    const auto state = boost::get<StateCondition>(parseSingle<ExpectStep>("expect stream is done or not_run").condition);
    BOOST_TEST((state.states == std::vector<std::string>{"done", "not_run"}));
    BOOST_TEST((boost::get<ReadyCondition>(parseSingle<ExpectStep>("expect every vm is ready").condition).place.kind == PlaceKind::EveryVm));
    BOOST_TEST((boost::get<StartedCondition>(parseSingle<ExpectStep>("expect quote started 1 times").condition).times == 1U));
    BOOST_TEST((boost::get<NoStartCondition>(parseSingle<ExpectStep>("expect no start at u1 for 3 s").condition).time == Milliseconds(3000)));
    BOOST_TEST((boost::get<ExitCondition>(parseSingle<ExpectStep>("within 9 s expect z1a exited with 0").condition).status == 0U));
}

BOOST_AUTO_TEST_CASE(errorNamesTheLine)
{
    const auto namesLine = [](const base::Error &error) { return std::string(error.what()).find("test:2:") == 0; };
    BOOST_CHECK_EXCEPTION(parseScript("test", "wait 1 s\nexplode z1a\n"), base::Error, namesLine);
    BOOST_CHECK_THROW(parseScript("test", "kill"), base::Error);
    BOOST_CHECK_THROW(parseScript("test", "wait 5"), base::Error);
}

BOOST_AUTO_TEST_SUITE_END()
