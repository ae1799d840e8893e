#pragma once

#include "link/LinkHub.h"

#include <atomic>

namespace cranberryreel::link
{

/// The live counters behind LinkFigures. Owned by the hub; any thread.
struct LinkCounters {
    std::atomic<std::uint64_t> handshakesRefused{0};
    std::atomic<std::uint64_t> framesInvalid{0};
    std::atomic<std::uint64_t> linksLost{0};
    std::atomic<std::uint64_t> answersDropped{0};

    LinkFigures read() const
    {
        return {this->handshakesRefused.load(), this->framesInvalid.load(), this->linksLost.load(), this->answersDropped.load()};
    }
};

} // namespace cranberryreel::link
