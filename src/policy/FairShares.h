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

/// Dominant-resource fair shares among partners, weighted, in a tree of quota groups. Keeps what each partner holds and waits for, works out what is due to it,
/// and says who comes first, who is within its due and who has borrowed. Owned by the planner's state.
class FairShares
{
public:
    static constexpr std::size_t Kinds = 4;

    struct Partner {
        std::string name;
        PartnerIndex parent = NoIndex;
        double weight = 1.0;
        model::Resources quota; ///< 0 in a dimension: no limit.
        bool mayBorrow = true;
        std::uint32_t maxQueued = 10000;
        Demand own; ///< Held by its own tasks.
        Demand used; ///< Held by its own tasks and those of all below it.
        Demand giving; ///< Held by tasks that are being stopped for others.
        Demand waitingDemand;
        std::array<std::uint32_t, Kinds> waiting{}; ///< Tasks, by kind.
        std::uint32_t running = 0; ///< Tasks.
        double effectiveWeight = 0; ///< Part of the zone by weights alone, among the active.
        double due = 0; ///< Dominant share.
    };

    /// How partners are ordered: those that borrow after those that don't, then by the share held per weight.
    struct Order {
        bool borrows = false;
        double share = 0;
        PartnerIndex partner = NoIndex;

        bool operator<(const Order &other) const
        {
            return std::tie(this->borrows, this->share, this->partner) < std::tie(other.borrows, other.share, other.partner);
        }
    };

    PartnerIndex partner(const std::string &name);
    void setRules(const std::vector<PartnerView> &rules);

    void addUsed(PartnerIndex partner, const Demand &demand);
    void removeUsed(PartnerIndex partner, const Demand &demand);
    void resizeUsed(PartnerIndex partner, const model::Resources &from, const model::Resources &to);
    void addWaiting(PartnerIndex partner, model::JobKind kind, const model::Resources &need, std::uint32_t tasks);
    void removeWaiting(PartnerIndex partner, model::JobKind kind, const model::Resources &need, std::uint32_t tasks);

    /// Works the due shares out anew where they are stale.
    void refresh(const Demand &total, base::SteadyTime now);

    /// Sorts the partners with waiting tasks anew.
    void reorder();

    /// Partners with waiting tasks, in the order in which they are served, as of the last reorder().
    const std::vector<Order> &order() const
    {
        return this->served;
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

    /// Whether the partner would hold no more than its due with this added.
    bool isWithinDue(PartnerIndex partner, const Demand &added) const;

    /// Whether the partner would still hold its due with this taken away, on top of what it is giving back already.
    bool keepsDue(PartnerIndex partner, const Demand &taken) const;

    /// Whether the partner holds more than its due, aside from what it is giving back already.
    bool isOverDue(PartnerIndex partner) const;

    void addGiving(PartnerIndex partner, const Demand &demand);
    void removeGiving(PartnerIndex partner, const Demand &demand);

    /// The group or partner whose hard quota forbids adding this; NoIndex when none does.
    PartnerIndex hardLimit(PartnerIndex partner, const model::Resources &added, bool emptyHanded = false) const;

    std::vector<ShareRow> rows() const;

private:
    bool exceedsQuota(const Partner &group, const model::Resources &added, bool emptyHanded) const;
    bool borrows(PartnerIndex partner) const;
    void refreshWeights();
    void refreshDue();
    double levelledDemand(const Partner &partner, double level, Demand &sum) const;

    std::vector<Partner> partners;
    absl::flat_hash_map<std::string, PartnerIndex> byName;
    std::vector<Order> served;
    Demand total;
    base::SteadyTime refreshedAt;
    bool stale = true;
};

} // namespace cranberryreel::policy
