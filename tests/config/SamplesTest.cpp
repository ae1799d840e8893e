#include "config/ConfigurationReader.h"
#include "settings/Settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace cranberryreel;

namespace
{

const std::string Samples = std::string(CRANBERRYREEL_SOURCE_DIR) + "/samples/";
const std::vector<std::string> Deployments = {"hafnarbok", "reifekammer"};
constexpr std::size_t EntryVms = 8;
constexpr std::size_t WorkerVms = 50;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Loads all settings of one deployment from a copy, with the link key that the samples lack.
std::vector<settings::Settings> loadAll(const std::string &deployment)
{
    const std::filesystem::path copy = std::string(CRANBERRYREEL_BINARY_DIR) + "/samples-test-" + deployment;
    std::filesystem::remove_all(copy);
    std::filesystem::copy(Samples + deployment + "/settings", copy);
    std::ofstream(copy / "link.key") << "a key for the test only\n";
    std::vector<settings::Settings> loaded;
    for (const auto &file : std::filesystem::directory_iterator(copy)) {
        if (file.path().extension() == ".ini") {
            loaded.push_back(settings::load(file.path().string()));
            BOOST_TEST(loaded.back().daemon.vm == file.path().stem().string());
        }
    }
    return loaded;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SamplesTest)

BOOST_DATA_TEST_CASE(everySettingsFilePassesAndAllAgree, boost::unit_test::data::make(Deployments), deployment)
{
    const std::vector<settings::Settings> all = loadAll(deployment);
    BOOST_REQUIRE(all.size() == EntryVms);
    for (const settings::Settings &each : all) {
        BOOST_TEST(each.peers.size() == EntryVms);
        BOOST_TEST(each.zones.size() == all.front().zones.size());
        BOOST_TEST((each.configGroup.members == all.front().configGroup.members));
        BOOST_TEST((each.link.listen == all.front().peers.at(each.daemon.vm).address));
        BOOST_TEST(each.daemon.cluster == deployment);
    }
}

BOOST_DATA_TEST_CASE(registerAndRulesPass, boost::unit_test::data::make(Deployments), deployment)
{
    const auto read = config::readConfiguration(1, readFile(Samples + deployment + "/register.ini"), readFile(Samples + deployment + "/rules.ini"));
    BOOST_TEST(read->vms.size() == WorkerVms);
    BOOST_TEST(!read->rules.empty());
    std::set<std::string> zones;
    for (const auto &[name, vm] : read->vms) {
        zones.insert(vm.zone);
    }
    const std::vector<settings::Settings> all = loadAll(deployment);
    for (const auto &[zone, members] : all.front().zones) {
        BOOST_TEST(zones.count(zone) == 1U, zone);
    }
}

BOOST_AUTO_TEST_SUITE_END()
