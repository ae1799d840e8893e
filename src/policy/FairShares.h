#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/JobKind.h"
#include "policy/Demand.h"
#include "policy/Ids.h"
#include "policy/Planner.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cranberryreel::policy
{

/// Weighted dominant-resource fairness among partners, in a tree of quota groups. Records what each partner uses and waits for, computes fair shares, and
/// tells which partner is served first, which is within its fair share and which borrows. Owned by ZoneState; used by the planner's thread only.
class FairShares
{
public:
    static constexpr std::size_t KindCount = 4;

    struct Partner {
        std::string name;
        PartnerIndex parent = NoIndex;
        double weight = 1.0;
        model::Resources quota; ///< 0 in a dimension: no limit.
        bool mayBorrow = true;
        std::uint32_t maxQueued = 10000;
        Demand own; ///< Reserved by its own tasks.
        Demand used; ///< Reserved by its own tasks and those of all partners below it.
        Demand beingPreempted; ///< Reserved by tasks that are being preempted.
        Demand waitingDemand;
        std::array<std::uint32_t, KindCount> waiting{}; ///< Waiting tasks, by kind.
        std::uint32_t running = 0; ///< Number of active tasks.
        double effectiveWeight = 0; ///< Fraction of the zone by weights alone, among active partners.
        double fairShare = 0; ///< Dominant share that the partner is entitled to, 0 to 1.
    };

    /// Order in which partners are served: those that borrow after the others, then by dominant share used per weight.
    struct PartnerRank {
        bool isBorrowing = false;
        double share = 0;
        PartnerIndex partner = NoIndex;

        bool operator<(const PartnerRank &other) const
        {
            return std::tie(this->isBorrowing, this->share, this->partner) < std::tie(other.isBorrowing, other.share, other.partner);
        }
    };

    PartnerIndex findOrAddPartner(const std::string &name);
    void setRules(const std::vector<PartnerView> &rules);

    void addUsed(PartnerIndex partner, const Demand &demand);
    void removeUsed(PartnerIndex partner, const Demand &demand);
    void resizeUsed(PartnerIndex partner, const model::Resources &from, const model::Resources &to);
    void addWaiting(PartnerIndex partner, model::JobKind kind, const model::Resources &need, std::uint32_t tasks);
    void removeWaiting(PartnerIndex partner, model::JobKind kind, const model::Resources &need, std::uint32_t tasks);

    /// Recomputes the fair shares if they are stale.
    void refresh(const Demand &total, base::SteadyTime now);

    /// Recomputes the order of the partners that have waiting tasks.
    void rankPartners();

    /// Returns the partners with waiting tasks in the order in which they are served, as of the last rankPartners().
    const std::vector<PartnerRank> &rankedPartners() const
    {
        return this->ranked;
    }

    const Partner &at(PartnerIndex partner) const
    {
        return this->partners[partner];
    }

    std::size_t size() const
    {
        return this->partners.size();
    }

    double usedShare(PartnerIndex partner) const;

    /// Whether the partner stays within its fair share with `added` on top of what it uses.
    bool isWithinFairShare(PartnerIndex partner, const Demand &added) const;

    /// Whether the partner still has its fair share after `taken` and what is already being preempted are subtracted.
    bool keepsFairShare(PartnerIndex partner, const Demand &taken) const;

    /// Whether the partner uses more than its fair share, not counting what is being preempted.
    bool isOverFairShare(PartnerIndex partner) const;

    void addBeingPreempted(PartnerIndex partner, const Demand &demand);
    void removeBeingPreempted(PartnerIndex partner, const Demand &demand);

    /// Returns the group or partner whose hard quota forbids `added`; NoIndex when none does. With `ignoreUsed` compares `added` alone with the quotas.
    PartnerIndex findExceededQuota(PartnerIndex partner, const model::Resources &added, bool ignoreUsed = false) const;

    std::vector<PartnerShare> partnerShares() const;

private:
    bool exceedsQuota(const Partner &group, const model::Resources &added, bool ignoreUsed) const;
    bool isBorrowing(PartnerIndex partner) const;
    void refreshWeights();
    void refreshFairShares();
    double addDemandAtLevel(const Partner &partner, double level, Demand &sum) const;

    std::vector<Partner> partners;
    absl::flat_hash_map<std::string, PartnerIndex> byName;
    std::vector<PartnerRank> ranked;
    Demand total;
    base::SteadyTime refreshedAt;
    bool stale = true;
};

} // namespace cranberryreel::policy
