#include "CaseRun.h"

#include <curl/curl.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <unistd.h>

namespace cranberryreel::review
{

int runCase(int argc, char **argv, const std::function<Outcome(const CaseRun &)> &body)
{
    if (argc != 2) {
        std::fputs("usage: PROGRAM RECORD\n", stderr);
        return static_cast<int>(Outcome::NotRun);
    }
    curl_global_init(CURL_GLOBAL_ALL);
    Record record(argv[1]);
    const char *trouble = std::getenv("TROUBLE");
    const std::string folder = fmt::format("{}/review-{}", std::filesystem::temp_directory_path().string(), ::getpid());
    std::filesystem::create_directories(folder);
    Outcome outcome = Outcome::NotRun;
    try {
        outcome = body(CaseRun{folder, trouble == nullptr || std::string(trouble) != "0", record});
    } catch (const std::exception &error) {
        record.note("the case could not run: {}", error.what());
    }
    record.note("outcome: {}", outcome == Outcome::Held ? "the rule held" : outcome == Outcome::Broken ? "the rule was broken" : "not run");
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::printf("%s\n", folder.c_str());
    }
    return static_cast<int>(outcome);
}

} // namespace cranberryreel::review
