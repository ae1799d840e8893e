#include "cell/planning/AdviceQueryOrder.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell::planning
{

void interleaveByQueue(std::vector<AdviceQuery> &queries, const std::map<std::string, std::size_t> &pendingQueries)
{
    std::map<std::string, std::size_t> turns = pendingQueries;
    std::vector<std::pair<std::pair<QueryTiming, std::size_t>, AdviceQuery>> ranked;
    ranked.reserve(queries.size());
    for (AdviceQuery &query : queries) {
        const std::size_t turn = turns[query.queue]++;
        ranked.emplace_back(std::make_pair(query.timing, turn), std::move(query));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    queries.clear();
    for (auto &[rank, query] : ranked) {
        queries.push_back(std::move(query));
    }
}

} // namespace cranberryreel::cell::planning
