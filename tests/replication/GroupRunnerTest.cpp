#include "TestCluster.h"

#include "replication/GroupRunner.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace cranberryreel;
using namespace cranberryreel::replication;

namespace
{

/// A log store whose every write fails as on a full disk.
class FullDisk : public LogStore
{
public:
    Recovered recover() override
    {
        return {};
    }

    void write(const CoreOutput & /*output*/) override
    {
        throw base::Error(base::ResultCode::StorageWriteFailed, "Cannot write: no space.");
    }

    void compact(const Snapshot & /*snapshot*/, const HardState & /*hardState*/, const std::vector<Entry> & /*entriesAfter*/) override
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupRunnerTest)

BOOST_AUTO_TEST_CASE(aMemberWhoseDiskFailsStopsAndReportsTheReason)
{
    ListMachine machine;
    GroupRunnerOptions options;
    options.core.ownVm = "c1";
    options.core.boot = 1;
    options.core.members = Membership({Member{"c1", true, false}});
    options.core.timings.formationSettle = std::chrono::milliseconds(20);
    options.store = std::make_unique<FullDisk>();
    options.stateMachine = &machine;
    options.sendToMember = [](const std::string & /*to*/, const std::string & /*bytes*/) {};
    GroupRunner group(std::move(options));
    group.start();
    BOOST_TEST(TestCluster::eventually([&group] { return group.status().reason == "Cannot write: no space."; }));
    BOOST_TEST(!group.status().leader);
    base::ResultCode code = base::ResultCode::Ok;
    group.propose("one", Durability::Majority, [&code](const ProposeResult &result) { code = result.code; });
    BOOST_TEST((code == base::ResultCode::NotLeader));
}

BOOST_AUTO_TEST_CASE(aBuilderRefusesInconsistentSettings)
{
    ListMachine machine;
    const auto builder = [&machine] {
        GroupBuilder made;
        made.ownVm("a1").members({Member{"a1", false, false}}).stateMachine(machine).sendBy([](const std::string & /*to*/, const std::string & /*bytes*/) {});
        return made;
    };
    const auto inconsistent = [](const base::Error &error) { return error.code() == base::ResultCode::SettingsInconsistent; };
    BOOST_CHECK_EXCEPTION(GroupBuilder().build(), base::Error, inconsistent);
    BOOST_CHECK_EXCEPTION(builder().ownVm("a2").build(), base::Error, inconsistent);
    BOOST_CHECK_EXCEPTION(builder().members({Member{"a1", true, false}}).build(), base::Error, inconsistent);
    GroupTimings noMargin;
    noMargin.driftMargin = std::chrono::milliseconds(0);
    BOOST_CHECK_EXCEPTION(builder().timings(noMargin).build(), base::Error, inconsistent);
    BOOST_CHECK_NO_THROW(builder().build());
}

BOOST_AUTO_TEST_SUITE_END()
