#pragma once

#include "cell/planning/PlacementCandidate.h"
#include "cell/planning/ReadySteps.h"

#include <vector>

namespace cranberryreel::cell::planning
{

/// Chooses upstreams of similar speed for a gang. A gang ends with its slowest member, so a member on a fast upstream next to one on a slow upstream takes fast
/// capacity and gains nothing. Returns the candidates of the most preferred speed rank that holds the whole gang; if none does, those of the fewest preferred
/// ranks that hold it together. With equal ranks, returns all candidates. Pure.
std::vector<PlacementCandidate> alikeCandidates(const ReadyStep &ready, std::vector<PlacementCandidate> candidates);

} // namespace cranberryreel::cell::planning
