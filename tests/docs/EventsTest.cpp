#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace
{

using Keys = std::set<std::string>;
using Events = std::map<std::string, Keys>;

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

/// Collects the events, with their keys, from the format strings of one folder's sources.
void readSources(const std::filesystem::path &folder, Events &events)
{
    static const std::regex linePattern("\"event=([a-z_]+)([^;]*?)\"[,)]");
    static const std::regex literalBreakPattern("\"\\s*\\n\\s*\"");
    static const std::regex keyPattern("([a-z_]+)=");
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".cpp") {
            continue;
        }
        const std::string text = std::regex_replace(readFile(entry.path()), literalBreakPattern, "");
        for (std::sregex_iterator line(text.begin(), text.end(), linePattern); line != std::sregex_iterator(); ++line) {
            Keys &keys = events[(*line)[1]];
            const std::string rest = (*line)[2];
            for (std::sregex_iterator key(rest.begin(), rest.end(), keyPattern); key != std::sregex_iterator(); ++key) {
                keys.insert((*key)[1]);
            }
        }
    }
}

/// Reads the table rows "| event | keys | meaning |".
Events readTable(const std::filesystem::path &file)
{
    static const std::regex rowPattern("\\| ([a-z_]+) \\| ([a-z_ -]+) \\| .+ \\|");
    Events events;
    std::istringstream lines(readFile(file));
    for (std::string line; std::getline(lines, line);) {
        std::smatch row;
        if (std::regex_match(line, row, rowPattern) && row[1] != "event") {
            std::istringstream words(row[2]);
            Keys &keys = events[row[1]];
            for (std::string key; words >> key;) {
                if (key != "-") {
                    keys.insert(key);
                }
            }
        }
    }
    return events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventsTest)

BOOST_AUTO_TEST_CASE(documentationMatchesTheEventsOfACell)
{
    const std::filesystem::path root(CRANBERRYREEL_SOURCE_DIR);
    Events written;
    readSources(root / "src/cell", written);
    readSources(root / "src/replication", written);
    readSources(root / "platform", written);
    const Events documented = readTable(root / "docs/EVENTS.md");
    BOOST_TEST(written.size() > 40U);
    for (const auto &[event, keys] : written) {
        const auto row = documented.find(event);
        BOOST_TEST((row != documented.end()), "docs/EVENTS.md lacks " << event);
        BOOST_TEST((row == documented.end() || row->second == keys), "docs/EVENTS.md has different keys for " << event);
    }
    for (const auto &[event, keys] : documented) {
        BOOST_TEST(written.count(event) == 1U, "no source writes the event " << event);
    }
}

BOOST_AUTO_TEST_SUITE_END()
