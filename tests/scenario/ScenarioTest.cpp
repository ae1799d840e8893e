#include "scenario/Runner.h"
#include "scenario/ScriptParser.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

// Every file tests/scenario/NAME.scenario becomes the test case NAME of the suite Scenarios.

using namespace cranberryreel::scenario;

namespace
{

namespace fs = std::filesystem;

std::string textOf(const fs::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void runScenario(const fs::path &path)
{
    const Script script = parseScript(path.filename().string(), textOf(path));
    Runner runner(script, [&script](const std::string &sentence) { BOOST_TEST_MESSAGE(script.name << ": " << sentence); });
    const std::vector<std::string> failures = runner.run();
    BOOST_TEST(failures.empty());
    for (const std::string &failure : failures) {
        BOOST_ERROR(failure);
    }
}

std::vector<fs::path> scenarioFiles()
{
    std::vector<fs::path> files;
    for (const fs::directory_entry &entry : fs::directory_iterator(fs::path(CRANBERRYREEL_SOURCE_DIR) / "tests" / "scenario")) {
        if (entry.path().extension() == ".scenario") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// Registers the test cases during static initialization, before Boost.Test runs any.
struct Registration {
    Registration()
    {
        auto *suite = BOOST_TEST_SUITE("Scenarios");
        for (const fs::path &path : scenarioFiles()) {
            suite->add(boost::unit_test::make_test_case([path] { runScenario(path); }, path.stem().string(), __FILE__, __LINE__));
        }
        boost::unit_test::framework::master_test_suite().add(suite);
    }
};

const Registration Registered;

} // namespace
