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
    bool shrinkable = false; ///< Cells are truncated when the table is wider than the screen.
};

struct Cell {
    std::string text;
    Tint tint = Tint::Plain;
};

/// Formats rows as aligned columns. Shrinkable columns are narrowed, as far as possible, until the table fits the screen.
class TextTable
{
public:
    static constexpr std::size_t ScreenColumns = 80;

    explicit TextTable(std::vector<Column> columnList);

    void addRow(std::vector<Cell> row);
    std::string toString(const Palette &palette) const;

private:
    std::vector<std::size_t> widths() const;
    std::string formatRow(const std::vector<Cell> &row, const std::vector<std::size_t> &widths, const Palette &palette) const;

    std::vector<Column> columns;
    std::vector<std::vector<Cell>> rows;
};

} // namespace cranberryreel::cli
