#include "http/ConnectionCap.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace cranberryreel::http
{

namespace
{

constexpr std::uint64_t ReservedFiles = 512;
constexpr std::uint64_t MinConnections = 64;

} // namespace

unsigned int connectionCap(unsigned int wanted, std::uint64_t openFiles)
{
    const std::uint64_t available = openFiles > ReservedFiles ? openFiles - ReservedFiles : 0;
    return static_cast<unsigned int>(std::min<std::uint64_t>(wanted, std::max(available, MinConnections)));
}

std::uint64_t openFileLimit()
{
    rlimit limit{};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return known ? limit.rlim_cur : std::numeric_limits<std::uint64_t>::max();
}

} // namespace cranberryreel::http
