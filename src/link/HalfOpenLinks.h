#pragma once

#include "link/HalfOpenLink.h"
#include "link/LinkLimits.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::link
{

/// All connections of a hub that are not authenticated yet. Owned by the hub; I/O thread only.
class HalfOpenLinks
{
public:
    explicit HalfOpenLinks(const LinkLimits &linkLimits);

    void add(std::unique_ptr<HalfOpenLink> link);

    /// Takes a link out; it is freed later, since it may be in the middle of a call. Its connection goes on if somebody else holds it.
    void retire(HalfOpenLink &link);
    void freeRetired();

    /// Closes the own dials to a peer whose link came up; those that the peer may have chosen by now stay, unless `all`.
    void retireDials(const std::string &peerVm, bool all);
    void closeAll();

    bool dialing(const std::string &peerVm) const;
    std::vector<HalfOpenLink *> late(base::SteadyTime now) const;
    base::SteadyTime nextTick() const;

    /// The accepted link to give up for a new one; null while there is room.
    HalfOpenLink *oldestAcceptedWhenFull() const;

private:
    std::size_t limit;
    std::vector<std::unique_ptr<HalfOpenLink>> links; ///< Oldest first.
    std::vector<std::unique_ptr<HalfOpenLink>> retired;
};

} // namespace cranberryreel::link
