#pragma once

#include "link/HalfOpenLink.h"
#include "link/LinkLimits.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::link
{

/// All half-open links of a hub. Owned by the hub; I/O thread only.
class HalfOpenLinks
{
public:
    explicit HalfOpenLinks(const LinkLimits &linkLimits);

    void add(std::unique_ptr<HalfOpenLink> link);

    /// Removes a link. The object is freed in freeRetired(), since one of its functions may be running. Its connection stays open if another object holds it.
    void retire(HalfOpenLink &link);
    void freeRetired();

    /// Closes the dialed connections to a peer whose link came up. Unless `all` is set, those that the peer may have chosen already stay open.
    void retireDials(const std::string &peerVm, bool all);
    void closeAll();

    bool dialing(const std::string &peerVm) const;
    std::vector<HalfOpenLink *> overdueLinks(base::SteadyTime now) const;
    base::SteadyTime nextTick() const;

    /// The oldest accepted link, to be closed in favor of a new one; null while the limit is not reached.
    HalfOpenLink *oldestAcceptedWhenFull() const;

private:
    std::size_t limit;
    std::vector<std::unique_ptr<HalfOpenLink>> links; ///< Oldest first.
    std::vector<std::unique_ptr<HalfOpenLink>> retired;
};

} // namespace cranberryreel::link
