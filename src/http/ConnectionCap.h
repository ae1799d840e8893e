#pragma once

#include <cstdint>

namespace cranberryreel::http
{

/// How many connections a server may hold where the process may open `openFiles` files at once: the wanted number, or what is left beside a reserve for
/// calls to upstreams, links and files.
unsigned int connectionCap(unsigned int wanted, std::uint64_t openFiles);

/// The number of files that this process may open at once.
std::uint64_t openFileLimit();

} // namespace cranberryreel::http
