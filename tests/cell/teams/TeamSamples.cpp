#include "cell/teams/TeamSamples.h"

#include "cell/CellSamples.h"

namespace cranberryreel::support
{

std::unique_ptr<cell::wire::TeamT> team(const std::string &name, const std::vector<std::string> &keys, double weight)
{
    auto made = std::make_unique<cell::wire::TeamT>();
    made->name = name;
    made->keys = keys;
    made->weight = weight;
    return made;
}

std::unique_ptr<cell::wire::RulesT> rulesWithTeams(std::uint64_t version)
{
    auto made = rules(version);
    made->queues.push_back(queue("open", 1, 2));
    made->queues.back()->open = true;
    made->requires_keys = true;
    made->teams.push_back(team("a", {"key-a1", "key-a2"}));
    made->teams.push_back(team("b", {"key-b"}));
    return made;
}

} // namespace cranberryreel::support
