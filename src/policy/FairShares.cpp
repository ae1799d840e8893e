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

std::size_t slotOf(model::JobKind kind)
{
    return static_cast<std::size_t>(kind);
}

bool isActive(const FairShares::Partner &partner)
{
    return partner.running > 0 || partner.waitingDemand.slots > 0;
}

} // namespace

PartnerIndex FairShares::partner(const std::string &name)
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
        const PartnerIndex index = this->partner(rule.partner);
        const PartnerIndex parent = rule.parent.empty() ? NoIndex : this->partner(rule.parent);
        Partner &partner = this->partners[index];
        partner.parent = parent == index ? NoIndex : parent;
        partner.weight = std::max(rule.weight, ShareTolerance);
        partner.quota = rule.quota;
        partner.mayBorrow = rule.mayBorrow;
        partner.maxQueued = rule.maxQueued;
    }
    for (Partner &partner : this->partners) {
        std::size_t depth = 0; // Breaks a cycle of groups.
        for (PartnerIndex up = partner.parent; up != NoIndex; up = this->partners[up].parent) {
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
        for (PartnerIndex up = partner.parent; up != NoIndex; up = this->partners[up].parent) {
            this->partners[up].used += partner.own;
        }
    }
    this->stale = true;
}

void FairShares::addUsed(PartnerIndex index, const Demand &demand)
{
    this->stale = this->stale || !isActive(this->partners[index]);
    ++this->partners[index].running;
    this->partners[index].own += demand;
    for (PartnerIndex at = index; at != NoIndex; at = this->partners[at].parent) {
        this->partners[at].used += demand;
    }
}

void FairShares::removeUsed(PartnerIndex index, const Demand &demand)
{
    --this->partners[index].running;
    this->partners[index].own -= demand;
    for (PartnerIndex at = index; at != NoIndex; at = this->partners[at].parent) {
        this->partners[at].used -= demand;
    }
}

void FairShares::resizeUsed(PartnerIndex index, const model::Resources &from, const model::Resources &to)
{
    this->partners[index].own.resources += to - from;
    for (PartnerIndex at = index; at != NoIndex; at = this->partners[at].parent) {
        this->partners[at].used.resources += to - from;
    }
}

void FairShares::addWaiting(PartnerIndex index, model::JobKind kind, const model::Resources &need, std::uint32_t tasks)
{
    Partner &partner = this->partners[index];
    this->stale = this->stale || !isActive(partner);
    partner.waitingDemand += taskDemand(need).times(tasks);
    partner.waiting[slotOf(kind)] += tasks;
}

void FairShares::removeWaiting(PartnerIndex index, model::JobKind kind, const model::Resources &need, std::uint32_t tasks)
{
    Partner &partner = this->partners[index];
    partner.waitingDemand -= taskDemand(need).times(tasks);
    partner.waiting[slotOf(kind)] -= tasks;
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
    this->refreshDue();
}

void FairShares::refreshWeights()
{
    std::vector<char> active(this->partners.size(), 0);
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        for (PartnerIndex at = i; isActive(this->partners[i]) && at != NoIndex; at = this->partners[at].parent) {
            active[at] = 1;
        }
    }
    std::vector<double> siblings(this->partners.size() + 1, 0.0); // By parent; the last entry is the top.
    const auto parentSlot = [this](const Partner &partner) { return partner.parent == NoIndex ? this->partners.size() : partner.parent; };
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        siblings[parentSlot(this->partners[i])] += active[i] != 0 ? this->partners[i].weight : 0;
    }
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        double weight = active[i] != 0 ? 1.0 : 0.0;
        for (PartnerIndex at = i; active[i] != 0 && at != NoIndex; at = this->partners[at].parent) {
            weight *= this->partners[at].weight / siblings[parentSlot(this->partners[at])];
        }
        this->partners[i].effectiveWeight = weight;
    }
}

double FairShares::levelledDemand(const Partner &partner, double level, Demand &sum) const
{
    Demand wanted = partner.own;
    wanted += partner.waitingDemand;
    const double dominant = wanted.dominantShareOf(this->total);
    double share = std::min(partner.effectiveWeight * level, dominant);
    if (!partner.mayBorrow && !partner.quota.isZero()) {
        share = std::min(share, Demand{partner.quota, 0}.dominantShareOf(this->total));
    }
    const double part = dominant > 0 ? share / dominant : 0;
    const auto portion = [part](std::int64_t amount) { return static_cast<std::int64_t>(std::llround(part * static_cast<double>(amount))); };
    sum += Demand{{portion(wanted.resources.cpuMillis), portion(wanted.resources.memoryMiB), portion(wanted.resources.accelerators)}, portion(wanted.slots)};
    return share;
}

void FairShares::refreshDue()
{
    double low = 0;
    double high = 1;
    for (const Partner &partner : this->partners) {
        high = partner.effectiveWeight > 0 ? std::max(high, 1.0 / partner.effectiveWeight) : high;
    }
    for (int step = 0; step < LevelSearchSteps; ++step) {
        const double level = (low + high) / 2;
        Demand sum;
        for (const Partner &partner : this->partners) {
            if (isActive(partner)) {
                this->levelledDemand(partner, level, sum);
            }
        }
        (sum.fitsIn(this->total) ? low : high) = level;
    }
    for (Partner &partner : this->partners) {
        Demand unused;
        partner.due = isActive(partner) ? this->levelledDemand(partner, low, unused) : 0;
    }
}

void FairShares::reorder()
{
    this->served.clear();
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        const Partner &partner = this->partners[i];
        if (partner.waitingDemand.slots > 0) {
            this->served.push_back({this->borrows(i), this->usedShare(i) / std::max(partner.effectiveWeight, ShareTolerance), i});
        }
    }
    std::sort(this->served.begin(), this->served.end());
}

double FairShares::usedShare(PartnerIndex partner) const
{
    return this->partners[partner].used.dominantShareOf(this->total);
}

bool FairShares::isWithinDue(PartnerIndex partner, const Demand &added) const
{
    Demand with = this->partners[partner].used;
    with += added;
    return with.dominantShareOf(this->total) <= this->partners[partner].due + ShareTolerance;
}

bool FairShares::keepsDue(PartnerIndex partner, const Demand &taken) const
{
    Demand without = this->partners[partner].used;
    without -= this->partners[partner].giving;
    without -= taken;
    return without.dominantShareOf(this->total) >= this->partners[partner].due - ShareTolerance;
}

bool FairShares::isOverDue(PartnerIndex partner) const
{
    Demand keeps = this->partners[partner].used;
    keeps -= this->partners[partner].giving;
    return keeps.dominantShareOf(this->total) > this->partners[partner].due + ShareTolerance;
}

void FairShares::addGiving(PartnerIndex partner, const Demand &demand)
{
    this->partners[partner].giving += demand;
}

void FairShares::removeGiving(PartnerIndex partner, const Demand &demand)
{
    this->partners[partner].giving -= demand;
}

bool FairShares::exceedsQuota(const Partner &group, const model::Resources &added, bool emptyHanded) const
{
    const model::Resources with = emptyHanded ? added : group.used.resources + added;
    const auto over = [](std::int64_t amount, std::int64_t quota) { return quota > 0 && amount > quota; };
    return over(with.cpuMillis, group.quota.cpuMillis) || over(with.memoryMiB, group.quota.memoryMiB) || over(with.accelerators, group.quota.accelerators);
}

PartnerIndex FairShares::hardLimit(PartnerIndex index, const model::Resources &added, bool emptyHanded) const
{
    for (PartnerIndex at = index; at != NoIndex; at = this->partners[at].parent) {
        if (!this->partners[at].mayBorrow && this->exceedsQuota(this->partners[at], added, emptyHanded)) {
            return at;
        }
    }
    return NoIndex;
}

bool FairShares::borrows(PartnerIndex index) const
{
    for (PartnerIndex at = index; at != NoIndex; at = this->partners[at].parent) {
        if (this->exceedsQuota(this->partners[at], {}, false)) {
            return true;
        }
    }
    return false;
}

std::vector<ShareRow> FairShares::rows() const
{
    std::vector<ShareRow> rows;
    for (PartnerIndex i = 0; i < this->partners.size(); ++i) {
        const Partner &partner = this->partners[i];
        rows.push_back({partner.name, partner.due, this->usedShare(i), static_cast<std::uint32_t>(partner.waitingDemand.slots), partner.running});
    }
    std::sort(rows.begin(), rows.end(), [](const ShareRow &left, const ShareRow &right) { return left.partner < right.partner; });
    return rows;
}

} // namespace cranberryreel::policy
