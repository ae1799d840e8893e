#include "cli/TextTable.h"

#include <algorithm>
#include <numeric>

namespace cranberryreel::cli
{

namespace
{

constexpr std::size_t ColumnGap = 2;
constexpr std::size_t MinShrunkWidth = 6;
constexpr const char *TruncationMark = "..";
constexpr std::size_t TruncationMarkWidth = 2;

std::string truncate(const std::string &text, std::size_t width)
{
    return text.size() <= width ? text : text.substr(0, width - TruncationMarkWidth) + TruncationMark;
}

} // namespace

TextTable::TextTable(std::vector<Column> columnList)
    : columns(std::move(columnList))
{
}

void TextTable::addRow(std::vector<Cell> row)
{
    row.resize(this->columns.size());
    this->rows.push_back(std::move(row));
}

std::string TextTable::toString(const Palette &palette) const
{
    std::vector<Cell> titles;
    for (const Column &column : this->columns) {
        titles.push_back({column.title, Tint::Dim});
    }
    const std::vector<std::size_t> fitted = this->widths();
    std::string text = this->formatRow(titles, fitted, palette);
    for (const std::vector<Cell> &row : this->rows) {
        text += this->formatRow(row, fitted, palette);
    }
    return text;
}

std::vector<std::size_t> TextTable::widths() const
{
    std::vector<std::size_t> fitted;
    for (std::size_t index = 0; index < this->columns.size(); index++) {
        std::size_t width = this->columns[index].title.size();
        for (const std::vector<Cell> &row : this->rows) {
            width = std::max(width, row[index].text.size());
        }
        fitted.push_back(width);
    }
    const std::size_t gaps = ColumnGap * (this->columns.size() - 1);
    while (std::accumulate(fitted.begin(), fitted.end(), gaps) > ScreenColumns) {
        std::size_t *widest = nullptr;
        for (std::size_t index = 0; index < fitted.size(); index++) {
            if (this->columns[index].shrinkable && fitted[index] > MinShrunkWidth && (widest == nullptr || fitted[index] > *widest)) {
                widest = &fitted[index];
            }
        }
        if (widest == nullptr) {
            break;
        }
        (*widest)--;
    }
    return fitted;
}

std::string TextTable::formatRow(const std::vector<Cell> &row, const std::vector<std::size_t> &fitted, const Palette &palette) const
{
    std::string text;
    for (std::size_t index = 0; index < row.size(); index++) {
        const std::string cell = truncate(row[index].text, fitted[index]);
        const std::string padding(fitted[index] - cell.size(), ' ');
        const std::string painted = palette.paint(cell, row[index].tint);
        const bool isLast = index + 1 == row.size();
        if (this->columns[index].align == Align::Right) {
            text += padding + painted;
        } else {
            text += painted + (isLast ? "" : padding);
        }
        text += isLast ? "\n" : std::string(ColumnGap, ' ');
    }
    return text;
}

} // namespace cranberryreel::cli
