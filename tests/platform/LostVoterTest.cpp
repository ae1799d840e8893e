#include "support/Eventually.h"
#include "support/PlatformCell.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace cranberryreel;
using namespace std::chrono_literals;

namespace
{

/// A VM that is back, or the successor of a lost one, counts as available after this time.
constexpr std::chrono::seconds CatchUpTime{4};
/// The cell serves again within this time after the VMs are back.
constexpr std::chrono::seconds RecoveryTime{12};

/// A cell of four VMs with a disk by default, three of them voters, and its operator.
class Operator
{
public:
    explicit Operator(int diskVms = 4)
        : cell({diskVms, 1, 1})
        , vms(this->cell.diskVms())
    {
        BOOST_REQUIRE(support::eventually([this] { return this->write(); }));
    }

    /// Sends the next configuration to one VM after the other; true once one has acknowledged it.
    bool write()
    {
        return std::any_of(this->cell.diskVms().begin(), this->cell.diskVms().end(), [this](const std::string &vm) {
            const bool accepted = this->cell.running(vm) && this->cell.putConfig(vm, this->acknowledged + 1) == 200;
            this->acknowledged += accepted ? 1 : 0;
            return accepted;
        });
    }

    void writeFor(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            this->write();
            std::this_thread::sleep_for(50ms);
        }
    }

    /// All VMs with a disk lose power and come back, except the one whose disk is lost, if any.
    void losePower(const std::string &lostDisk)
    {
        const std::vector<std::string> current = this->cell.diskVms();
        for (const std::string &vm : current) {
            this->cell.kill(vm);
        }
        for (const std::string &vm : current) {
            if (vm != lostDisk) {
                this->cell.start(vm);
            }
        }
        if (!lostDisk.empty()) {
            this->cell.wipe(lostDisk);
        }
    }

    /// Checks that a VM returns the acknowledged configuration and that a newer one is accepted.
    void checkServes()
    {
        const auto until = std::chrono::steady_clock::now() + RecoveryTime;
        const auto left = [&until] { return std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()); };
        BOOST_TEST(support::eventually([this] { return this->readsBack(); }, left()), "version " << this->acknowledged << " is not read back");
        BOOST_TEST(support::eventually([this] { return this->write(); }, left()), "no newer version is accepted");
    }

    support::PlatformCell cell;
    const std::vector<std::string> vms; ///< The VMs with a disk at the start; the first three are voters.

private:
    bool readsBack()
    {
        return std::any_of(this->cell.diskVms().begin(), this->cell.diskVms().end(), [this](const std::string &vm) {
            const std::optional<int> read = this->cell.running(vm) ? this->cell.getConfig(vm) : std::nullopt;
            BOOST_REQUIRE_GE(read.value_or(this->acknowledged), this->acknowledged);
            return read.has_value();
        });
    }

    int acknowledged = 4;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LostVoterTest)

BOOST_DATA_TEST_CASE(aVoterThatIsGoneForGoodIsReplacedBeforeTheNextDiskIsLost, boost::unit_test::data::make({1, 2}), nextLost)
{
    Operator user;
    user.cell.replace(user.vms[0]);
    std::this_thread::sleep_for(CatchUpTime);
    user.losePower(user.vms[nextLost]);
    user.checkServes();
}

/// The loss of power restarts the time in which the gone voter must be replaced, and delays the leader that replaces it.
BOOST_DATA_TEST_CASE(aVoterThatIsGoneAtALossOfPowerIsReplacedSoonAfterIt, boost::unit_test::data::make({1, 2}), nextLost)
{
    Operator user;
    user.cell.replace(user.vms[0]);
    user.losePower("");
    std::this_thread::sleep_for(CatchUpTime);
    user.losePower(user.vms[nextLost]);
    user.checkServes();
}

BOOST_DATA_TEST_CASE(aVoterWhoseDiskStaysFullIsReplaced, boost::unit_test::data::make({0, 1, 2}), fullVoter)
{
    Operator user;
    user.cell.setDiskFull(user.vms[fullVoter], true);
    user.writeFor(CatchUpTime + 500ms);
    user.cell.kill(user.vms[(fullVoter + 1) % 3]);
    user.checkServes();
    BOOST_TEST(user.cell.running(user.vms[fullVoter]));
}

BOOST_AUTO_TEST_CASE(aFoundingVmThatLostItsPlaceStandsByAgain)
{
    Operator user;
    user.cell.signal(user.vms[0], SIGSTOP);
    user.writeFor(10s);
    user.cell.signal(user.vms[0], SIGCONT);
    user.writeFor(CatchUpTime);
    user.cell.kill(user.vms[1]);
    user.writeFor(CatchUpTime);
    // The founding VM and the one that took its place remain.
    user.cell.kill(user.vms[2]);
    user.checkServes();
}

/// Reported by operators of another system: disks were full for seconds, one after another and never two at once; afterwards changes were refused to the end.
BOOST_DATA_TEST_CASE(aCellWhoseDisksWereFullInTurnAcceptsChanges, boost::unit_test::data::make({3, 4}), diskVms)
{
    Operator user(diskVms);
    for (int round = 0; round < 2; ++round) {
        for (const std::string &vm : user.vms) {
            user.cell.setDiskFull(vm, true);
            user.writeFor(3s);
            user.cell.setDiskFull(vm, false);
        }
    }
    user.checkServes();
    for (const std::string &vm : user.vms) {
        BOOST_TEST(user.cell.running(vm));
    }
    // Every member holds the changes again, so that the loss of any one is borne.
    std::this_thread::sleep_for(CatchUpTime);
    user.losePower("");
    user.checkServes();
}

BOOST_AUTO_TEST_SUITE_END()
