#include "observe/LogSetup.h"

#include "cranberryreel/base/Error.h"
#include "observe/Log.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>

using namespace cranberryreel;

BOOST_AUTO_TEST_SUITE(LogSetupTest)

BOOST_AUTO_TEST_CASE(linesCarryTimeLevelAndPrefix)
{
    const std::string path = std::string(CRANBERRYREEL_BINARY_DIR) + "/log-test.log";
    std::filesystem::remove(path);
    observe::setUpLog({"info", path});
    const observe::Log log("zone");
    log.debug("Unseen.");
    log.warn("Lost {} of {}.", 1, 2);
    observe::setUpLog({"error", ""});
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    BOOST_TEST(std::regex_match(line, std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z WARN  zone: Lost 1 of 2\.)")), line);
    BOOST_TEST(!std::getline(file, line));
}

BOOST_AUTO_TEST_CASE(anUnwritableFileIsRefused)
{
    BOOST_CHECK_EXCEPTION(observe::setUpLog({"info", "no/such/folder/log"}), base::Error, [](const base::Error &error) {
        return error.code() == base::ResultCode::DataFolderUnwritable;
    });
}

BOOST_AUTO_TEST_SUITE_END()
