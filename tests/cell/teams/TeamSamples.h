#pragma once

#include "cell/generated/cell_generated.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::support
{

/// Parts of a configuration with teams, for tests.
std::unique_ptr<cell::wire::TeamT> team(const std::string &name, const std::vector<std::string> &keys, double weight = 0);

/// The queues "quick" and "wide", which require keys, the open queue "open", and the teams "a" with the keys "key-a1" and "key-a2" and "b" with "key-b".
std::unique_ptr<cell::wire::RulesT> rulesWithTeams(std::uint64_t version);

} // namespace cranberryreel::support
