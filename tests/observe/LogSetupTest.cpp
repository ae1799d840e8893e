#include "observe/LogSetup.h"

#include "cranberryreel/base/Error.h"
#include "observe/Log.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>

using namespace cranberryreel;

namespace
{

/// Replaces each digit by 'd'.
std::string maskDigits(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char letter) { return std::isdigit(letter) != 0; }, 'd');
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogSetupTest)

BOOST_AUTO_TEST_CASE(linesCarryTimeLevelAndPrefix)
{
    const std::string path = std::string(CRANBERRYREEL_BINARY_DIR) + "/log-test.log";
    std::filesystem::remove(path);
    observe::setUpLog({"info", path});
    const observe::Log log("zone");
    log.debug("Not logged.");
    log.warn("Lost {} of {}.", 1, 2);
    observe::setUpLog({"error", ""});
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    BOOST_TEST(maskDigits(line.substr(0, line.find(' '))) == "dddd-dd-ddTdd:dd:dd.dddZ", line);
    BOOST_TEST(line.substr(line.find(' ')) == " WARN  zone: Lost 1 of 2.");
    BOOST_TEST(!std::getline(file, line));
}

BOOST_AUTO_TEST_CASE(anUnwritableFileIsRefused)
{
    BOOST_CHECK_EXCEPTION(observe::setUpLog({"info", "no/such/folder/log"}), base::Error, [](const base::Error &error) {
        return error.code() == base::ResultCode::DataFolderUnwritable;
    });
}

BOOST_AUTO_TEST_SUITE_END()
