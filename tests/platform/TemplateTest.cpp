#include "cell/CellSettings.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <map>

using namespace cranberryreel;
using base::ResultCode;

namespace
{

/// Fills in the settings template as the platform does: a placeholder without a value becomes empty.
std::string filledTemplate(const std::map<std::string, std::string> &values)
{
    std::ifstream file(std::string(CRANBERRYREEL_SOURCE_DIR) + "/deploy/settings.ini");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    for (std::size_t open = 0; (open = text.find("{{")) != std::string::npos;) {
        const std::size_t close = text.find("}}", open);
        const auto value = values.find(text.substr(open + 2, close - open - 2));
        text.replace(open, close + 2 - open, value == values.end() ? std::string() : value->second);
    }
    return text;
}

std::map<std::string, std::string> commonValues()
{
    return {{"NodeName", "a-1"},
            {"Ip", "10.0.0.5"},
            {"Zone", "z"},
            {"InternalPortRange.0", "7100"},
            {"Seeds", "10.0.0.7:8100,10.0.0.8:8100,10.0.0.9:8100"},
            {"Bootstrap", "true"},
            {"Recommendation", "10.9.0.1:8200"},
            {"Bounds.CatchUpS", "6"},
            {"Bounds.HoldMaxMs", "6000"},
            {"Bounds.StopTimeoutMs", "200"},
            {"Bounds.GangTimeoutMs", "3000"},
            {"Bounds.RestoreMs", "600"},
            {"Bounds.RemoteFactor", "1.5"}};
}

ResultCode codeOf(const std::string &text)
{
    try {
        cell::parseCellSettings(text, "file");
        return ResultCode::Ok;
    } catch (const base::Error &error) {
        return error.code();
    }
}

std::string replaced(std::string text, const std::string &piece, const std::string &by)
{
    const std::size_t at = text.find(piece);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, piece.size(), by);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TemplateTest)

BOOST_AUTO_TEST_CASE(parsesEntryVmSettings)
{
    auto values = commonValues();
    values["Listen.Frontend"] = "10.0.0.5:8000";
    values["Listen.Readiness"] = "10.0.0.5:8001";
    const cell::CellSettings read = cell::parseCellSettings(filledTemplate(values), "file");
    BOOST_TEST(read.callers.port == 8000);
    BOOST_TEST(!read.control.isSet());
    BOOST_TEST(read.dataFolder.empty());
    BOOST_TEST(read.seeds.size() == 3U);
    BOOST_TEST(read.firstStart);
    BOOST_TEST((read.cell.leaseMax == std::chrono::milliseconds(6000)));
    BOOST_TEST(read.cell.farRackFactor == 1.5);
    BOOST_TEST(read.adviceService.port == 8200);
}

BOOST_AUTO_TEST_CASE(parsesDiskVmSettings)
{
    auto values = commonValues();
    values["Listen.Control"] = "10.0.0.5:8100";
    values["DataDir"] = "/data/x";
    const cell::CellSettings read = cell::parseCellSettings(filledTemplate(values), "file");
    BOOST_TEST(read.cell.advertisedAddress == "10.0.0.5:8100");
    BOOST_TEST(read.dataFolder == "/data/x");
    BOOST_TEST(read.catchUp.count() == 6000);
    BOOST_TEST(read.cell.upstreamSpeeds);
    const std::string unset = replaced(filledTemplate(values), "upstream_speeds = true", "");
    BOOST_TEST(!cell::parseCellSettings(unset, "file").cell.upstreamSpeeds);
}

BOOST_AUTO_TEST_CASE(reportsCodesOfInvalidSettings)
{
    auto values = commonValues();
    values["Listen.Control"] = "10.0.0.5:8100";
    values["DataDir"] = "/data/x";
    const std::string good = filledTemplate(values);
    BOOST_TEST((codeOf(good) == ResultCode::Ok));
    BOOST_TEST((codeOf(replaced(good, "[advice]", "[advise]")) == ResultCode::SettingsUnknownSection));
    BOOST_TEST((codeOf(replaced(good, "seeds =", "seed =")) == ResultCode::SettingsUnknownKey));
    BOOST_TEST((codeOf(replaced(good, "zone = z", "zone =")) == ResultCode::SettingsMissingKey));
    BOOST_TEST((codeOf(replaced(good, "10.0.0.8:8100", "somewhere")) == ResultCode::SettingsBadValue));
    BOOST_TEST((codeOf(replaced(good, "catch_up_s = 6", "catch_up_s = 0")) == ResultCode::SettingsBadValue));
    BOOST_TEST((codeOf(replaced(good, "first_start = true", "first_start = yes")) == ResultCode::SettingsBadValue));
    BOOST_TEST((codeOf(replaced(good, "upstream_speeds = true", "upstream_speeds = 1")) == ResultCode::SettingsBadValue));
    BOOST_TEST((codeOf(replaced(good, "lease_max_ms = 6000", "lease_max_ms = 6 s")) == ResultCode::SettingsBadValue));
    BOOST_TEST((codeOf(replaced(good, "far_rack_factor = 1.5", "far_rack_factor = 0.5")) == ResultCode::SettingsBadValue));
    BOOST_TEST((codeOf(replaced(good, "data_folder = /data/x", "data_folder =")) == ResultCode::SettingsInconsistent));
    BOOST_TEST((codeOf(replaced(good, "control = 10.0.0.5:8100", "control = 10.0.0.5:0")) == ResultCode::SettingsBadValue));
}

BOOST_AUTO_TEST_SUITE_END()
