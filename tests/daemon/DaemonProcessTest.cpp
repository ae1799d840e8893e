#include "support/FreePort.h"
#include "support/Process.h"
#include "support/RawConnection.h"
#include "support/TemporaryFolder.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace support = cranberryreel::support;
namespace testsupport = cranberryreel::testsupport;

namespace
{

constexpr std::chrono::seconds WaitLimit{60};
constexpr std::chrono::milliseconds PollInterval{10};
constexpr int SettingsErrorStatus = 1;

/// Runs the daemon as a process, in a folder with the settings of a zone with a single VM.
class DaemonFixture
{
public:
    struct Result {
        int status = -1;
        std::string output;
    };

    DaemonFixture()
    {
        this->write("link.key", "a-link-key\n");
        this->write("data", "");
    }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->path(name)) << text;
    }

    std::string path(const std::string &name) const
    {
        return this->folder.name() + "/" + name;
    }

    std::string settings(const std::string &dataFolder = "state", const std::string &more = "") const
    {
        return fmt::format(
            "[daemon]\nvm = a\nzone = z\ndata_folder = {}\n[entry]\nlisten = {}\n[link]\nlisten = {}\nkey_file = link.key\n[peers]\na = {} zone=z disk=yes\n"
            "[zone z]\nmembers = a\n[config_group]\nmembers = a\n{}",
            dataFolder,
            support::loopback(this->httpPort),
            support::loopback(this->linkPort),
            support::loopback(this->linkPort),
            more);
    }

    std::unique_ptr<support::Process> start(const std::vector<std::string> &arguments, const std::string &output) const
    {
        std::vector<std::string> command{std::string(CRANBERRYREEL_BINARY_DIR) + "/cranberryreeld"};
        command.insert(command.end(), arguments.begin(), arguments.end());
        return std::make_unique<support::Process>(command, this->path(output));
    }

    Result run(const std::vector<std::string> &arguments) const
    {
        const auto process = this->start(arguments, "output");
        return {awaitEnd(*process), this->read("output")};
    }

    Result runWithSettings(const std::string &text, const std::vector<std::string> &more = {}) const
    {
        this->write("settings.ini", text);
        std::vector<std::string> arguments{"--settings", this->path("settings.ini")};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return this->run(arguments);
    }

    std::string read(const std::string &name) const
    {
        std::ifstream file(this->path(name));
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    bool eventuallyContains(const std::string &name, const std::string &text) const
    {
        const auto until = std::chrono::steady_clock::now() + WaitLimit;
        while (this->read(name).find(text) == std::string::npos) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(PollInterval);
        }
        return true;
    }

    /// What the daemon answers at /metrics, header included.
    std::string metrics() const
    {
        const testsupport::RawConnection connection(this->httpPort);
        connection.send("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        return connection.receiveAll(WaitLimit);
    }

    static int awaitEnd(support::Process &process)
    {
        const auto until = std::chrono::steady_clock::now() + WaitLimit;
        while (process.running() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(PollInterval);
        }
        return process.exitStatus().value_or(-1);
    }

private:
    support::TemporaryFolder folder;
    std::uint16_t httpPort = support::freePort();
    std::uint16_t linkPort = support::freePort();
};

bool contains(const std::string &output, const std::string &text)
{
    return output.find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonProcessTest)

BOOST_FIXTURE_TEST_CASE(printsVersionAndHelp, DaemonFixture)
{
    const Result version = this->run({"--version"});
    BOOST_TEST(version.status == 0);
    BOOST_TEST(contains(version.output, CRANBERRYREEL_VERSION));
    const Result help = this->run({"--help"});
    BOOST_TEST(help.status == 0);
    BOOST_TEST(contains(help.output, "--settings FILE"));
}

BOOST_FIXTURE_TEST_CASE(invalidCommandLinesReportUsageError, DaemonFixture)
{
    for (const std::vector<std::string> &arguments : {std::vector<std::string>{}, {"--check"}, {"--unheard-of"}, {"--settings"}, {"word"}}) {
        const Result result = this->run(arguments);
        BOOST_TEST(result.status == SettingsErrorStatus);
        BOOST_TEST(contains(result.output, "1020 UsageError"));
    }
}

BOOST_FIXTURE_TEST_CASE(invalidSettingsReportFileSectionAndKey, DaemonFixture)
{
    BOOST_TEST(contains(this->run({"--check", "--settings", this->path("absent.ini")}).output, "1001 SettingsFileMissing"));
    const Result unknown = this->runWithSettings(this->settings("state", "[timing]\ntask_lease = 5\n"), {"--check"});
    BOOST_TEST(unknown.status == SettingsErrorStatus);
    BOOST_TEST(contains(unknown.output, "1004 SettingsUnknownKey"));
    BOOST_TEST(contains(unknown.output, "settings.ini"));
    BOOST_TEST(contains(unknown.output, "task_lease"));
    BOOST_TEST(contains(this->runWithSettings(this->settings("state", "[timing]\ntask_lease_ms = soon\n"), {"--check"}).output, "1006 SettingsBadValue"));
    BOOST_TEST(contains(this->runWithSettings(this->settings("state", "[timing]\ntask_lease_ms = -5\n"), {"--check"}).output, "task_lease_ms"));
    const Result valid = this->runWithSettings(this->settings(), {"--check"});
    BOOST_TEST(valid.status == 0);
}

BOOST_FIXTURE_TEST_CASE(reportsAnUnwritableDataFolder, DaemonFixture)
{
    // "data" is a file, so no user, root included, can create anything below it.
    const Result result = this->runWithSettings(this->settings("data/state"));
    BOOST_TEST(result.status == SettingsErrorStatus);
    BOOST_TEST(contains(result.output, "1011 DataFolderUnwritable"));
}

BOOST_FIXTURE_TEST_CASE(reportsAPortInUseWhileTheFirstDaemonRuns, DaemonFixture)
{
    this->write("first.ini", this->settings("first-state"));
    const auto first = this->start({"--settings", this->path("first.ini")}, "first.log");
    BOOST_REQUIRE(this->eventuallyContains("first.log", "Serving VM a in zone z"));
    const Result second = this->runWithSettings(this->settings("second-state"));
    BOOST_TEST(second.status == SettingsErrorStatus);
    BOOST_TEST(contains(second.output, "1010 PortInUse"));
    BOOST_TEST(first->running());
    first->signal(SIGTERM);
    BOOST_TEST(awaitEnd(*first) == 0);
}

BOOST_FIXTURE_TEST_CASE(metricsTellWhichGroupsHaveLostMembers, DaemonFixture)
{
    const std::string absent = support::loopback(support::freePort());
    std::string text = this->settings();
    const std::string zone = "[zone z]\nmembers = a\n";
    text.replace(text.find(zone), zone.size(), fmt::format("b = {0} zone=z disk=yes\nc = {0} zone=z disk=yes\n[zone z]\nmembers = a, b, c\n", absent));
    this->write("settings.ini", text);
    const auto daemon = this->start({"--settings", this->path("settings.ini")}, "daemon.log");
    BOOST_REQUIRE(this->eventuallyContains("daemon.log", "Serving VM a in zone z"));
    const std::string shown = this->metrics();
    for (const char *line : {"cranberryreel_group_members{group=\"zone z\"} 3",
                             "cranberryreel_group_members_linked{group=\"zone z\"} 1",
                             "cranberryreel_group_member_caught_up{group=\"zone z\"} 0",
                             "cranberryreel_group_members{group=\"configuration\"} 1",
                             "cranberryreel_group_members_linked{group=\"configuration\"} 1"}) {
        BOOST_TEST(contains(shown, line), line);
    }
    daemon->signal(SIGTERM);
    BOOST_TEST(awaitEnd(*daemon) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
