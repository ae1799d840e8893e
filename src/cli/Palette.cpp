#include "cli/Palette.h"

#include <array>

namespace cranberryreel::cli
{

std::string Palette::paint(const std::string &text, Tint tint) const
{
    static constexpr std::array<const char *, 5> Codes = {"", "\033[32m", "\033[33m", "\033[31m", "\033[2m"};
    if (!this->coloured || tint == Tint::Plain) {
        return text;
    }
    return Codes.at(static_cast<std::size_t>(tint)) + text + "\033[0m";
}

} // namespace cranberryreel::cli
