#include "cranberryreel/base/ResultCode.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

namespace
{

using Names = std::map<int, std::string>;

/// "    Name = 1001," of the header.
void readEnumerator(const std::string &line, Names &names)
{
    std::istringstream words(line);
    std::string name;
    std::string equals;
    int number = 0;
    char comma = 0;
    if (line.rfind("    ", 0) == 0 && words >> name >> equals >> number >> comma && equals == "=" && comma == ',') {
        names[number] = name;
    }
}

/// "| 1001 | Name | meaning |" of the table.
void readRow(const std::string &line, Names &names)
{
    std::istringstream words(line);
    std::string name;
    char bar = 0;
    char secondBar = 0;
    int number = 0;
    if (words >> bar >> number >> secondBar >> name && bar == '|' && secondBar == '|') {
        names[number] = name;
    }
}

Names namesIn(const std::string &path, void (*read)(const std::string &, Names &))
{
    std::ifstream file(path);
    Names names;
    for (std::string line; std::getline(file, line);) {
        read(line, names);
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResultCodesTest)

BOOST_AUTO_TEST_CASE(tableAndCodeNameTheSameResults)
{
    const std::string root = CRANBERRYREEL_SOURCE_DIR;
    const auto inCode = namesIn(root + "/include/cranberryreel/base/ResultCode.h", &readEnumerator);
    const auto inTable = namesIn(root + "/docs/RESULT_CODES.md", &readRow);
    BOOST_TEST(!inCode.empty());
    BOOST_TEST((inCode == inTable));
    for (const auto &[number, name] : inCode) {
        BOOST_TEST(cranberryreel::base::resultName(static_cast<cranberryreel::base::ResultCode>(number)) == name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
