#pragma once

#include <cstdint>

namespace cranberryreel::cell
{

/// How long the advice service needs for a query, and how soon its answer is needed.
enum class AdviceQueryClass : std::uint8_t {
    Quick, ///< Answered in tens of milliseconds.
    Slow,
    Prefetch ///< A slow query whose answer is not needed yet.
};

} // namespace cranberryreel::cell
