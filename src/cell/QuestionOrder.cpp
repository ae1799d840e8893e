#include "cell/QuestionOrder.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

void takeTurns(std::vector<AdviceWish> &wishes, const std::map<std::string, std::size_t> &underWay)
{
    std::map<std::string, std::size_t> turns = underWay;
    std::vector<std::pair<std::pair<Need, std::size_t>, AdviceWish>> ranked;
    ranked.reserve(wishes.size());
    for (AdviceWish &wish : wishes) {
        const std::size_t turn = turns[wish.queue]++;
        ranked.emplace_back(std::make_pair(wish.need, turn), std::move(wish));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    wishes.clear();
    for (auto &[rank, wish] : ranked) {
        wishes.push_back(std::move(wish));
    }
}

} // namespace cranberryreel::cell
