#include "cranberryreel/base/ResultCode.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

namespace
{

using Names = std::map<int, std::string>;

/// Parses an enumerator line of the header: "    Name = 1001,".
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

/// Parses a row of the documentation's table: "| 1001 | Name | meaning |".
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

Names readNames(const std::string &path, void (*read)(const std::string &, Names &))
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

BOOST_AUTO_TEST_CASE(documentationAndHeaderListTheSameCodes)
{
    const std::string root = CRANBERRYREEL_SOURCE_DIR;
    const auto inCode = readNames(root + "/include/cranberryreel/base/ResultCode.h", &readEnumerator);
    const auto inTable = readNames(root + "/docs/RESULT_CODES.md", &readRow);
    BOOST_TEST(!inCode.empty());
    BOOST_TEST((inCode == inTable));
    for (const auto &[number, name] : inCode) {
        BOOST_TEST(cranberryreel::base::resultName(static_cast<cranberryreel::base::ResultCode>(number)) == name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
