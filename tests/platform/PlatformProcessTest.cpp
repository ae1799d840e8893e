#include "support/Eventually.h"
#include "support/PlatformCell.h"
#include "support/Process.h"
#include "support/TemporaryFolder.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace cranberryreel;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PlatformProcessTest)

BOOST_AUTO_TEST_CASE(formsACellStoresRulesAndStopsWithinTheGraceTime)
{
    support::PlatformCell cell;
    const std::string entry = cell.entryVms().front();
    const std::vector<std::string> &disks = cell.diskVms();
    BOOST_REQUIRE(support::eventually([&] { return cell.get(cell.readiness(entry), "/api/ready") == 200; }));
    BOOST_REQUIRE(support::eventually([&] { return cell.putConfig(disks[1], 5) == 200; }));
    BOOST_TEST(cell.get(cell.control(disks[2]), "/api/config/get") == 200);
    BOOST_TEST(cell.put(disks[0], "{\"Version\":6,") == 400);
    BOOST_TEST(cell.get(cell.callers(entry), "/p/") == 404);
    std::vector<std::string> all = disks;
    all.push_back(entry);
    for (const std::string &vm : all) {
        cell.signal(vm, SIGTERM);
    }
    // Clients keep their connections open; the platform kills a process that still runs after 6 s.
    for (const std::string &vm : all) {
        BOOST_TEST(support::eventually([&] { return !cell.running(vm); }, 6s));
        BOOST_TEST(cell.exitStatus(vm).value_or(-1) == 0);
    }
}

BOOST_AUTO_TEST_CASE(aWriteBeyondTheFileSizeLimitDoesNotEndTheProcess)
{
    support::PlatformCell cell;
    const std::vector<std::string> &disks = cell.diskVms();
    BOOST_REQUIRE(support::eventually([&] { return cell.putConfig(disks[1], 5) == 200; }));
    cell.setDiskFull(disks[0], true);
    BOOST_TEST(support::eventually([&] { return cell.putConfig(disks[1], 6) == 200; }));
    BOOST_TEST(!support::eventually([&] { return !cell.running(disks[0]); }, 500ms));
}

/// Failure: a reload signal that came while the program was reading its settings ended it, before it had handled any signal.
BOOST_AUTO_TEST_CASE(aSignalDuringTheStartDoesNotEndTheProcess)
{
    const support::TemporaryFolder folder;
    const std::string settings = folder.name() + "/settings.ini";
    BOOST_REQUIRE(::mkfifo(settings.c_str(), S_IRUSR | S_IWUSR) == 0);
    support::Process process({std::string(CRANBERRYREEL_BINARY_DIR) + "/cranberryreel-platformd", "--settings", settings}, folder.name() + "/output");
    const int writer = ::open(settings.c_str(), O_WRONLY); // Returns when the process reads its settings.
    BOOST_REQUIRE(writer >= 0);
    process.signal(SIGHUP);
    BOOST_TEST(!support::eventually([&] { return !process.running(); }, 300ms));
    ::close(writer);
}

BOOST_AUTO_TEST_SUITE_END()
