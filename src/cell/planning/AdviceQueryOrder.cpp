#include "cell/planning/AdviceQueryOrder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryreel::cell::planning
{

void interleaveByQueue(std::vector<AdviceQuery> &queries,
                       const std::map<std::string, std::size_t> &pendingQueries,
                       const std::map<std::string, std::chrono::milliseconds> &overdueQueues)
{
    struct Rank {
        QueryTiming timing;
        std::chrono::milliseconds overdue;
        std::size_t turn;
    };
    std::map<std::string, std::size_t> turns = pendingQueries;
    std::vector<std::pair<Rank, AdviceQuery>> ranked;
    ranked.reserve(queries.size());
    for (AdviceQuery &query : queries) {
        const std::size_t turn = turns[query.queue]++;
        // One query ends the wait of its queue.
        const auto waited = turn == 0 ? overdueQueues.find(query.queue) : overdueQueues.end();
        const Rank rank{query.timing, waited == overdueQueues.end() ? std::chrono::milliseconds(0) : waited->second, turn};
        ranked.emplace_back(rank, std::move(query));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::make_tuple(left.first.timing, -left.first.overdue, left.first.turn)
            < std::make_tuple(right.first.timing, -right.first.overdue, right.first.turn);
    });
    queries.clear();
    for (auto &[rank, query] : ranked) {
        queries.push_back(std::move(query));
    }
}

} // namespace cranberryreel::cell::planning
