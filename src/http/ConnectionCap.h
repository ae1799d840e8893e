#pragma once

#include <cstdint>

namespace cranberryreel::http
{

/// The number of connections that a server may hold if the process may open `openFiles` files at once: `wanted`, or fewer to leave files for calls to
/// upstreams, links and disk files, but at least 64 if wanted.
unsigned int connectionCap(unsigned int wanted, std::uint64_t openFiles);

/// The number of files that this process may open at once; the maximum value if unlimited or unknown.
std::uint64_t openFileLimit();

} // namespace cranberryreel::http
