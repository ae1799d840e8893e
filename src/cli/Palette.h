#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::cli
{

enum class Tint : std::uint8_t {
    Plain,
    Good,
    Warning,
    Bad,
    Dim,
};

/// Colours text on a terminal and leaves it alone elsewhere.
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
