#include "link/HalfOpenLinks.h"

#include <algorithm>

namespace cranberryreel::link
{

namespace
{

bool isDialTo(const HalfOpenLink &link, const std::string &peerVm)
{
    return link.connection()->dialed() && link.handshake().peerVm() == peerVm;
}

} // namespace

HalfOpenLinks::HalfOpenLinks(const LinkLimits &linkLimits)
    : limit(linkLimits.halfOpenConnections)
{
}

void HalfOpenLinks::add(std::unique_ptr<HalfOpenLink> link)
{
    this->links.push_back(std::move(link));
    this->links.back()->open();
}

void HalfOpenLinks::retire(HalfOpenLink &link)
{
    const auto isLink = [&link](const std::unique_ptr<HalfOpenLink> &candidate) { return candidate.get() == &link; };
    const auto found = std::find_if(this->links.begin(), this->links.end(), isLink);
    if (found != this->links.end()) {
        this->retired.push_back(std::move(*found));
        this->links.erase(found);
    }
}

void HalfOpenLinks::freeRetired()
{
    this->retired.clear();
}

void HalfOpenLinks::retireDials(const std::string &peerVm, bool all)
{
    std::vector<HalfOpenLink *> redundant;
    for (const std::unique_ptr<HalfOpenLink> &link : this->links) {
        if (isDialTo(*link, peerVm) && (all || !link->handshake().peerMayBeComplete())) {
            redundant.push_back(link.get());
        }
    }
    for (HalfOpenLink *link : redundant) {
        link->close();
        this->retire(*link);
    }
}

void HalfOpenLinks::closeAll()
{
    for (const std::unique_ptr<HalfOpenLink> &link : this->links) {
        link->close();
    }
    this->links.clear();
    this->retired.clear();
}

bool HalfOpenLinks::dialing(const std::string &peerVm) const
{
    return std::any_of(this->links.begin(), this->links.end(), [&peerVm](const std::unique_ptr<HalfOpenLink> &link) { return isDialTo(*link, peerVm); });
}

std::vector<HalfOpenLink *> HalfOpenLinks::overdueLinks(base::SteadyTime now) const
{
    std::vector<HalfOpenLink *> overdue;
    for (const std::unique_ptr<HalfOpenLink> &link : this->links) {
        if (now >= link->deadline()) {
            overdue.push_back(link.get());
        }
    }
    return overdue;
}

base::SteadyTime HalfOpenLinks::nextTick() const
{
    return this->links.empty() ? base::SteadyTime::max() : this->links.front()->deadline();
}

HalfOpenLink *HalfOpenLinks::oldestAcceptedWhenFull() const
{
    const auto isAccepted = [](const std::unique_ptr<HalfOpenLink> &link) { return !link->connection()->dialed(); };
    if (static_cast<std::size_t>(std::count_if(this->links.begin(), this->links.end(), isAccepted)) < this->limit) {
        return nullptr;
    }
    return std::find_if(this->links.begin(), this->links.end(), isAccepted)->get();
}

} // namespace cranberryreel::link
