#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::cli
{

/// The meaning that a colour conveys.
enum class Tint : std::uint8_t {
    Plain,
    Good,
    Warning,
    Bad,
    Dim,
};

/// Adds colour codes to text that goes to a terminal; returns other text unchanged.
class Palette
{
public:
    explicit Palette(bool onTerminal)
        : coloured(onTerminal)
    {
    }

    std::string paint(const std::string &text, Tint tint) const;

private:
    bool coloured;
};

} // namespace cranberryreel::cli
