#include "soak/Soak.h"

#include <absl/strings/numbers.h>

#include <getopt.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace
{

constexpr const char *Usage = "usage: cranberryreel_soak [--restarts] [--seconds N] SEED...\n";
constexpr int UsageStatus = 2;
constexpr std::int64_t DefaultSeconds = 60;

} // namespace

int main(int argc, char **argv)
{
    static const option longOptions[] = {{"seconds", required_argument, nullptr, 's'}, {"restarts", no_argument, nullptr, 'r'}, {nullptr, 0, nullptr, 0}};
    std::int64_t seconds = DefaultSeconds;
    bool valid = true;
    auto kind = cranberryreel::soak::SoakKind::Rounds;
    for (int code = 0; (code = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (code == 'r') {
            kind = cranberryreel::soak::SoakKind::Restarts;
        } else {
            valid = valid && code == 's' && absl::SimpleAtoi(optarg, &seconds) && seconds > 0;
        }
    }
    std::vector<std::uint64_t> seeds;
    for (int i = optind; i < argc; ++i) {
        valid = absl::SimpleAtoi(argv[i], &seeds.emplace_back()) && valid;
    }
    if (!valid || seeds.empty()) {
        std::fputs(Usage, stderr);
        return UsageStatus;
    }
    std::string failed;
    for (const std::uint64_t seed : seeds) {
        if (!cranberryreel::soak::Soak(kind, seed).run(std::chrono::seconds(seconds))) {
            failed += " " + std::to_string(seed);
        }
    }
    std::printf("%zu seeds, failed:%s\n", seeds.size(), failed.empty() ? " none" : failed.c_str());
    return failed.empty() ? 0 : 1;
}
