#pragma once

#include "cli/Palette.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

enum class Align : std::uint8_t {
    Left,
    Right,
};

struct Column {
    std::string title;
    Align align = Align::Left;
    bool shrinks = false; ///< Is cut where the table would be too wide.
};

struct Cell {
    std::string text;
    Tint tint = Tint::Plain;
};

/// Aligned columns of text, no wider than a screen where its shrinking columns allow it.
class TextTable
{
public:
    static constexpr std::size_t ScreenColumns = 80;

    explicit TextTable(std::vector<Column> columnList);

    void add(std::vector<Cell> row);
    std::string toString(const Palette &palette) const;

private:
    std::vector<std::size_t> widths() const;
    std::string line(const std::vector<Cell> &row, const std::vector<std::size_t> &widths, const Palette &palette) const;

    std::vector<Column> columns;
    std::vector<std::vector<Cell>> rows;
};

} // namespace cranberryreel::cli
