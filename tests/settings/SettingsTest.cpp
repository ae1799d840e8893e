#include "settings/Settings.h"

#include "SettingsSample.h"
#include "cranberryreel/base/Error.h"
#include "settings/SettingsTable.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>
#include <sstream>

using cranberryreel::base::Error;
using cranberryreel::base::ResultCode;
using namespace cranberryreel;

namespace
{

struct BadSettings {
    const char *piece;
    const char *replacement;
    ResultCode code;
    std::vector<std::string> expected; ///< Texts that the message must contain.
};

std::ostream &operator<<(std::ostream &out, const BadSettings &bad)
{
    return out << bad.replacement;
}

const std::vector<BadSettings> &badSettings()
{
    static const std::vector<BadSettings> all = {
        {"[config_group]", "[config_grp]", ResultCode::SettingsUnknownSection, {"[config_grp]", "not a known section"}},
        {"key_file = link.key", "key_file = link.key\nkeyfile = x", ResultCode::SettingsUnknownKey, {"[link] keyfile"}},
        {"key_file = link.key", "", ResultCode::SettingsMissingKey, {"[link] key_file"}},
        {"vm = rey-a", "vm =", ResultCode::SettingsMissingKey, {"[daemon] vm"}},
        {"vm = rey-a", "vm = Rey A", ResultCode::SettingsBadValue, {"[daemon] vm (line 2)", "'Rey A'"}},
        {"vm = rey-a", "vm = rey-z", ResultCode::SettingsInconsistent, {"[daemon] vm", "rey-z"}},
        {"zone = rey", "zone = hfj", ResultCode::SettingsInconsistent, {"[daemon] zone"}},
        {"data_folder = data", "", ResultCode::SettingsInconsistent, {"[daemon] data_folder", "disk=yes"}},
        {"data_folder = data", "stop_limit_ms = 5s", ResultCode::SettingsBadValue, {"[daemon] stop_limit_ms", "milliseconds"}},
        {"data_folder = data", "stop_limit_ms = -1", ResultCode::SettingsBadValue, {"[daemon] stop_limit_ms", "'-1'"}},
        {"data_folder = data", "stop_limit_ms = 600001", ResultCode::SettingsOutOfRange, {"[daemon] stop_limit_ms", "0 to 600000"}},
        {"listen = 127.0.0.1:8101", "listen = localhost:8101", ResultCode::SettingsBadValue, {"[entry] listen", "localhost"}},
        {"listen = 127.0.0.1:8101", "listen = 127.0.0.1:99999", ResultCode::SettingsBadValue, {"[entry] listen"}},
        {"listen = 127.0.0.1:8101", "listen = 127.0.0.1:7101", ResultCode::SettingsInconsistent, {"[link] listen"}},
        {"hfj-b = 127.0.0.1:7104 zone=hfj disk=no",
         "hfj-b = 127.0.0.1:7104 zone=hfj disk=maybe",
         ResultCode::SettingsBadValue,
         {"[peers] hfj-b", "disk=maybe"}},
        {"witness = hfj-a", "witness = hfj-b", ResultCode::SettingsInconsistent, {"[zone rey] witness", "hfj-b"}},
        {"witness = hfj-a", "witnes = hfj-a", ResultCode::SettingsUnknownKey, {"[zone rey] witnes"}},
        {"members = akr-a\n", "members = akr-a, rey-b\n", ResultCode::SettingsInconsistent, {"[zone akr] members", "rey-b"}},
        {"members = rey-a, hfj-a,", "members = rey-a,", ResultCode::SettingsInconsistent, {"[config_group] members", "2 VMs"}},
        {"members = rey-a, hfj-a,", "members = rey-a, rey-b,", ResultCode::SettingsInconsistent, {"[config_group] members", "rey-b"}},
        {"[config_group]", "[timing]\nelection_min_ms = 2000\n[config_group]", ResultCode::SettingsInconsistent, {"[timing] election_min_ms"}},
        {"[config_group]", "[log]\nlevel = loud\n[config_group]", ResultCode::SettingsBadValue, {"[log] level", "loud"}},
        {"[config_group]", "[zone rey]\n[config_group]", ResultCode::SettingsSyntax, {"[zone rey]", "twice"}},
        {"zone = rey\n", "zone = rey\nzone = rey\n", ResultCode::SettingsSyntax, {"[daemon] zone (line 4)", "twice"}},
        {"[daemon]\n", "stray = 1\n[daemon]\n", ResultCode::SettingsSyntax, {"stray", "outside"}},
        {"[daemon]\n", "[daemon\n", ResultCode::SettingsSyntax, {"line 1"}},
    };
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(readsEverySectionAndAppliesDefaults)
{
    const settings::Settings read = settings::parse(settingsSample(), "sample.ini");
    BOOST_TEST(read.daemon.vm == "rey-a");
    BOOST_TEST(read.entry.listen.port == 8101);
    BOOST_TEST(read.peers.at("rey-a").hasDisk);
    BOOST_TEST(!read.peers.at("rey-b").hasDisk);
    BOOST_TEST(read.zones.at("rey").witness == "hfj-a");
    BOOST_TEST((read.configGroup.members == std::vector<std::string>{"rey-a", "hfj-a", "akr-a"}));
    BOOST_TEST(read.timing.taskLease.count() == 5000);
}

BOOST_DATA_TEST_CASE(refusesWithFileSectionAndKey, boost::unit_test::data::make(badSettings()), bad)
{
    try {
        settings::parse(settingsSampleWith(bad.piece, bad.replacement), "bad.ini");
        BOOST_ERROR("no error for: " << bad.replacement);
    } catch (const Error &error) {
        const std::string message = error.what();
        BOOST_TEST_MESSAGE(message);
        BOOST_TEST(static_cast<int>(error.code()) == static_cast<int>(bad.code));
        BOOST_TEST(message.find("bad.ini:") == 0);
        for (const std::string &name : bad.expected) {
            BOOST_TEST(message.find(name) != std::string::npos, "'" << name << "' is not in: " << message);
        }
    }
}

BOOST_AUTO_TEST_CASE(reportsAllProblemsAtOnce)
{
    std::string text = settingsSampleWith("vm = rey-a", "vm = R");
    text += "[log]\nlevel = loud\ncolour = red\n";
    try {
        settings::parse(text, "bad.ini");
        BOOST_ERROR("no error");
    } catch (const Error &error) {
        const std::string message = error.what();
        for (const char *part : {"[daemon] vm", "[log] level", "[log] colour"}) {
            BOOST_TEST(message.find(part) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(missingFilesAreNamed)
{
    const auto isMissing = [](const Error &error) { return error.code() == ResultCode::SettingsFileMissing; };
    BOOST_CHECK_EXCEPTION(settings::load("no/such/settings.ini"), Error, isMissing);
    const std::string path = std::string(CRANBERRYREEL_BINARY_DIR) + "/settings-test.ini";
    std::ofstream(path) << settingsSampleWith("link.key", "no-such-link.key");
    BOOST_CHECK_EXCEPTION(settings::load(path), Error, [](const Error &error) {
        return error.code() == ResultCode::SettingsFileMissing && std::string(error.what()).find("[link] key_file") != std::string::npos;
    });
}

BOOST_AUTO_TEST_CASE(mutatedTextsNeverCrash)
{
    const char *fixed = std::getenv("CRANBERRYREEL_TEST_SEED");
    const unsigned long seed = fixed == nullptr ? 20261204 : std::strtoul(fixed, nullptr, 10);
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 random(seed);
    for (int round = 0; round < 3000; round++) {
        std::string text = settingsSample();
        for (std::uint64_t edits = 1 + random() % 8; edits > 0; edits--) {
            const std::size_t at = random() % text.size();
            if (random() % 2 == 0) {
                text[at] = static_cast<char>(random());
            } else {
                text.insert(at, text.substr(random() % text.size(), random() % 400));
            }
        }
        try {
            settings::parse(text, "mutated.ini");
        } catch (const Error &error) {
            BOOST_REQUIRE(error.code() >= ResultCode::SettingsFileMissing && error.code() <= ResultCode::SettingsInconsistent);
        }
    }
}

BOOST_AUTO_TEST_CASE(documentationContainsTheTable)
{
    std::ifstream file(std::string(CRANBERRYREEL_SOURCE_DIR) + "/docs/SETTINGS.md");
    std::ostringstream page;
    page << file.rdbuf();
    const bool matches = page.str().find(settings::settingsMarkdown()) != std::string::npos;
    BOOST_TEST(matches, "docs/SETTINGS.md differs from the table; it should hold:\n" << settings::settingsMarkdown());
}

BOOST_AUTO_TEST_SUITE_END()
