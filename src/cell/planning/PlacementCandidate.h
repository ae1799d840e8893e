#pragma once

#include "cell/planning/FastCapacity.h"
#include "cell/planning/UpstreamCapacity.h"

namespace cranberryreel::cell::planning
{

/// An upstream on which tasks of one step may start. Refers to objects of the plan that it belongs to; owned by the Planner.
struct PlacementCandidate {
    UpstreamCapacity *capacity = nullptr;
    bool offRack = false; ///< Not on the rack that the step prefers.
    bool otherZone = false; ///< Not in the submitter's zone.
    int speedRank = 0; ///< Preferred speeds first; equal for all where placement does not consider speed.
    const FastCapacity *keptForUrgent = nullptr; ///< Set where the step must leave free capacity for urgent work.
};

} // namespace cranberryreel::cell::planning
