#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/Resources.h"
#include "policy/Ids.h"
#include "policy/JobEntry.h"
#include "policy/Ledger.h"
#include "policy/PlacementIndex.h"

namespace cranberryreel::policy
{

/// Placement rules of one job kind: how to rank the VMs that fit a task, and what tasks of the kind may do. One immortal, immutable instance per kind; safe to
/// use from any thread.
class KindPolicy
{
public:
    virtual ~KindPolicy() = default;

    /// Returns the score of placing a task of the job on the VM; lower is better. The VM must have free capacity for the task.
    virtual double score(const Ledger &ledger, VmIndex vm, const JobEntry &job) const = 0;

    /// How many VMs a search compares before it takes the best.
    virtual SearchLimits searchLimits() const = 0;

    /// Whether tasks of this kind start before those of other kinds while the partner is within its fair share.
    virtual bool isUrgent() const = 0;

    /// Whether tasks may be checkpointed and stopped so that other work can start.
    virtual bool isPreemptible() const = 0;

    /// Whether tasks may run on VMs that are reserved for a gang, if they end before the gang's expected start.
    virtual bool mayBackfill() const = 0;

    static const KindPolicy &forKind(model::JobKind kind);
};

} // namespace cranberryreel::policy
