#include "cranberryreel/base/ResultCode.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <regex>
#include <string>

namespace
{

std::map<int, std::string> namesIn(const std::string &path, const std::regex &row, int numberGroup, int nameGroup)
{
    std::ifstream file(path);
    std::map<int, std::string> names;
    for (std::string line; std::getline(file, line);) {
        if (std::smatch match; std::regex_search(line, match, row)) {
            names[std::stoi(match[numberGroup])] = match[nameGroup];
        }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResultCodesTest)

BOOST_AUTO_TEST_CASE(tableAndCodeNameTheSameResults)
{
    const std::string root = CRANBERRYREEL_SOURCE_DIR;
    const auto inCode = namesIn(root + "/include/cranberryreel/base/ResultCode.h", std::regex(R"(^    (\w+) = (\d+),)"), 2, 1);
    const auto inTable = namesIn(root + "/docs/RESULT_CODES.md", std::regex(R"(^\| (\d+) \| (\w+) \|)"), 1, 2);
    BOOST_TEST(!inCode.empty());
    BOOST_TEST((inCode == inTable));
    for (const auto &[number, name] : inCode) {
        BOOST_TEST(cranberryreel::base::resultName(static_cast<cranberryreel::base::ResultCode>(number)) == name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
