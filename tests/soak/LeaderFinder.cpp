#include "soak/LeaderFinder.h"

#include <absl/strings/numbers.h>

#include <cstdint>
#include <fstream>

namespace cranberryreel::soak
{

namespace
{

/// The term of the last acquisition in a log; 0 if there is none.
std::uint64_t lastTerm(const std::string &log)
{
    constexpr const char *Event = "event=leadership_acquired";
    constexpr const char *Field = " term=";
    std::uint64_t term = 0;
    std::ifstream file(log);
    for (std::string line; std::getline(file, line);) {
        if (line.find(Event) == std::string::npos) {
            continue;
        }
        if (const std::size_t field = line.find(Field); field != std::string::npos) {
            const std::size_t begin = field + std::string(Field).size();
            std::uint64_t parsed = 0;
            term = absl::SimpleAtoi(line.substr(begin, line.find_first_not_of("0123456789", begin) - begin), &parsed) ? parsed : term;
        }
    }
    return term;
}

} // namespace

std::string findLeader(const support::PlatformCell &cell)
{
    std::string leader = cell.diskVms().front();
    std::uint64_t highest = 0;
    for (const std::string &vm : cell.diskVms()) {
        if (const std::uint64_t term = lastTerm(cell.logOf(vm)); term > highest) {
            highest = term;
            leader = vm;
        }
    }
    return leader;
}

} // namespace cranberryreel::soak
