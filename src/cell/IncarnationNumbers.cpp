#include "cell/IncarnationNumbers.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// Ids that are remembered one by one. The others share the highest of their numbers, so they too go on above it.
constexpr std::size_t MaxIds = 4096;

} // namespace

std::uint64_t IncarnationNumbers::next(const std::string &id)
{
    const std::uint64_t number = ++this->lastNumbers.try_emplace(id, this->lastForgotten).first->second;
    if (this->lastNumbers.size() > MaxIds) {
        this->forgetOne();
    }
    return number;
}

/// Forgets the id with the lowest number, since all ids that are not remembered go on above its number.
void IncarnationNumbers::forgetOne()
{
    const auto lowest =
        std::min_element(this->lastNumbers.begin(), this->lastNumbers.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    this->lastForgotten = std::max(this->lastForgotten, lowest->second);
    this->lastNumbers.erase(lowest);
}

} // namespace cranberryreel::cell
