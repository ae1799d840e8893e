#include "policy/FairShares.h"

#include <algorithm>
#include <cmath>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RefreshInterval{100};
constexpr int LevelSearchSteps = 24;
constexpr double ShareTolerance = 1e-9;

std::size_t kindIndex(model::JobKind kind)
{
    return static_cast<std::size_t>(kind);
}

bool isActive(const FairShares::Partner &partner)
{
    return partner.running > 0 || partner.waitingDemand.slots > 0;
}

} // namespace

PartnerIndex FairShares::findOrAddPartner(const std::string &name)
{
    const auto [found, isNew] = this->byName.try_emplace(name, static_cast<PartnerIndex>(this->partners.size()));
    if (isNew) {
        this->partners.emplace_back();
        this->partners.back().name = name;
        this->stale = true;
    }
    return found->second;
}

void FairShares::setRules(const std::vector<PartnerView> &rules)
{
    for (Partner &partner : this->partners) {
        partner.parent = NoIndex;
        partner.weight = 1.0;
        partner.quota = {};
        partner.mayBorrow = true;
        partner.maxQueued = PartnerView{}.maxQueued;
    }
    for (const PartnerView &rule : rules) {
        const PartnerIndex index = this->findOrAddPartner(rule.partner);
        const PartnerIndex parent = rule.parent.empty() ? NoIndex : this->findOrAddPartner(rule.parent);
        Partner &partner = this->partners[index];
        partner.parent = parent == index ? NoIndex : parent;
        partner.weight = std::max(rule.weight, ShareTolerance);
        partner.quota = rule.quota;
        partner.mayBorrow = rule.mayBorrow;
        partner.maxQueued = rule.maxQueued;
    }
    for (Partner &partner : this->partners) {
        std::size_t depth = 0; // Breaks a cycle of groups.
        for (PartnerIndex ancestor = partner.parent; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
            if (++depth > this->partners.size()) {
                partner.parent = NoIndex;
                break;
            }
        }
    }
    for (Partner &partner : this->partners) {
        partner.used = partner.own;
    }
    for (const Partner &partner : this->partners) {
        for (PartnerIndex ancestor = partner.parent; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
            this->partners[ancestor].used += partner.own;
        }
    }
    this->stale = true;
}

void FairShares::addUsed(PartnerIndex index, const Demand &demand)
{
    this->stale = this->stale || !isActive(this->partners[index]);
    ++this->partners[index].running;
    this->partners[index].own += demand;
    for (PartnerIndex ancestor = index; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
        this->partners[ancestor].used += demand;
    }
}

void FairShares::removeUsed(PartnerIndex index, const Demand &demand)
{
    --this->partners[index].running;
    this->partners[index].own -= demand;
    for (PartnerIndex ancestor = index; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
        this->partners[ancestor].used -= demand;
    }
}

void FairShares::resizeUsed(PartnerIndex index, const model::Resources &from, const model::Resources &to)
{
    this->partners[index].own.resources += to - from;
    for (PartnerIndex ancestor = index; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
        this->partners[ancestor].used.resources += to - from;
    }
}

void FairShares::addWaiting(PartnerIndex index, model::JobKind kind, const model::Resources &need, std::uint32_t tasks)
{
    Partner &partner = this->partners[index];
    this->stale = this->stale || !isActive(partner);
    partner.waitingDemand += taskDemand(need).multipliedBy(tasks);
    partner.waiting[kindIndex(kind)] += tasks;
}

void FairShares::removeWaiting(PartnerIndex index, model::JobKind kind, const model::Resources &need, std::uint32_t tasks)
{
    Partner &partner = this->partners[index];
    partner.waitingDemand -= taskDemand(need).multipliedBy(tasks);
    partner.waiting[kindIndex(kind)] -= tasks;
}

void FairShares::refresh(const Demand &zoneTotal, base::SteadyTime now)
{
    if (!this->stale && now - this->refreshedAt < RefreshInterval) {
        return;
    }
    this->stale = false;
    this->refreshedAt = now;
    this->total = zoneTotal;
    this->refreshWeights();
    this->refreshFairShares();
}

void FairShares::refreshWeights()
{
    std::vector<char> active(this->partners.size(), 0);
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        for (PartnerIndex ancestor = i; isActive(this->partners[i]) && ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
            active[ancestor] = 1;
        }
    }
    std::vector<double> siblingWeights(this->partners.size() + 1, 0.0); // By parent; the last entry is for partners at the top.
    const auto parentIndex = [this](const Partner &partner) { return partner.parent == NoIndex ? this->partners.size() : partner.parent; };
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        siblingWeights[parentIndex(this->partners[i])] += active[i] != 0 ? this->partners[i].weight : 0;
    }
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        double weight = active[i] != 0 ? 1.0 : 0.0;
        for (PartnerIndex ancestor = i; active[i] != 0 && ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
            weight *= this->partners[ancestor].weight / siblingWeights[parentIndex(this->partners[ancestor])];
        }
        this->partners[i].effectiveWeight = weight;
    }
}

double FairShares::addDemandAtLevel(const Partner &partner, double level, Demand &sum) const
{
    Demand wanted = partner.own;
    wanted += partner.waitingDemand;
    const double dominant = wanted.dominantShareOf(this->total);
    double share = std::min(partner.effectiveWeight * level, dominant);
    if (!partner.mayBorrow && !partner.quota.isZero()) {
        share = std::min(share, Demand{partner.quota, 0}.dominantShareOf(this->total));
    }
    const double fraction = dominant > 0 ? share / dominant : 0;
    const auto scaled = [fraction](std::int64_t amount) { return static_cast<std::int64_t>(std::llround(fraction * static_cast<double>(amount))); };
    sum += Demand{{scaled(wanted.resources.cpuMillis), scaled(wanted.resources.memoryMiB), scaled(wanted.resources.accelerators)}, scaled(wanted.slots)};
    return share;
}

void FairShares::refreshFairShares()
{
    double lowLevel = 0;
    double highLevel = 1;
    for (const Partner &partner : this->partners) {
        highLevel = partner.effectiveWeight > 0 ? std::max(highLevel, 1.0 / partner.effectiveWeight) : highLevel;
    }
    for (int step = 0; step < LevelSearchSteps; ++step) {
        const double level = (lowLevel + highLevel) / 2;
        Demand sum;
        for (const Partner &partner : this->partners) {
            if (isActive(partner)) {
                this->addDemandAtLevel(partner, level, sum);
            }
        }
        (sum.fitsIn(this->total) ? lowLevel : highLevel) = level;
    }
    for (Partner &partner : this->partners) {
        Demand unused;
        partner.fairShare = isActive(partner) ? this->addDemandAtLevel(partner, lowLevel, unused) : 0;
    }
}

void FairShares::rankPartners()
{
    this->ranked.clear();
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        const Partner &partner = this->partners[i];
        if (partner.waitingDemand.slots > 0) {
            this->ranked.push_back({this->isBorrowing(i), this->usedShare(i) / std::max(partner.effectiveWeight, ShareTolerance), i});
        }
    }
    std::sort(this->ranked.begin(), this->ranked.end());
}

double FairShares::usedShare(PartnerIndex partner) const
{
    return this->partners[partner].used.dominantShareOf(this->total);
}

bool FairShares::isWithinFairShare(PartnerIndex partner, const Demand &added) const
{
    Demand with = this->partners[partner].used;
    with += added;
    return with.dominantShareOf(this->total) <= this->partners[partner].fairShare + ShareTolerance;
}

bool FairShares::keepsFairShare(PartnerIndex partner, const Demand &taken) const
{
    Demand without = this->partners[partner].used;
    without -= this->partners[partner].beingPreempted;
    without -= taken;
    return without.dominantShareOf(this->total) >= this->partners[partner].fairShare - ShareTolerance;
}

bool FairShares::isOverFairShare(PartnerIndex partner) const
{
    Demand kept = this->partners[partner].used;
    kept -= this->partners[partner].beingPreempted;
    return kept.dominantShareOf(this->total) > this->partners[partner].fairShare + ShareTolerance;
}

void FairShares::addBeingPreempted(PartnerIndex partner, const Demand &demand)
{
    this->partners[partner].beingPreempted += demand;
}

void FairShares::removeBeingPreempted(PartnerIndex partner, const Demand &demand)
{
    this->partners[partner].beingPreempted -= demand;
}

bool FairShares::exceedsQuota(const Partner &group, const model::Resources &added, bool ignoreUsed) const
{
    const model::Resources with = ignoreUsed ? added : group.used.resources + added;
    const auto over = [](std::int64_t amount, std::int64_t quota) { return quota > 0 && amount > quota; };
    return over(with.cpuMillis, group.quota.cpuMillis) || over(with.memoryMiB, group.quota.memoryMiB) || over(with.accelerators, group.quota.accelerators);
}

PartnerIndex FairShares::findExceededQuota(PartnerIndex index, const model::Resources &added, bool ignoreUsed) const
{
    for (PartnerIndex ancestor = index; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
        if (!this->partners[ancestor].mayBorrow && this->exceedsQuota(this->partners[ancestor], added, ignoreUsed)) {
            return ancestor;
        }
    }
    return NoIndex;
}

bool FairShares::isBorrowing(PartnerIndex index) const
{
    for (PartnerIndex ancestor = index; ancestor != NoIndex; ancestor = this->partners[ancestor].parent) {
        if (this->exceedsQuota(this->partners[ancestor], {}, false)) {
            return true;
        }
    }
    return false;
}

std::vector<PartnerShare> FairShares::partnerShares() const
{
    std::vector<PartnerShare> shares;
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        const Partner &partner = this->partners[i];
        shares.push_back({partner.name, partner.fairShare, this->usedShare(i), static_cast<std::uint32_t>(partner.waitingDemand.slots), partner.running});
    }
    std::sort(shares.begin(), shares.end(), [](const PartnerShare &left, const PartnerShare &right) { return left.partner < right.partner; });
    return shares;
}

} // namespace cranberryreel::policy
