#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/Resources.h"
#include "policy/Ids.h"
#include "policy/JobEntry.h"
#include "policy/Ledger.h"
#include "policy/PlacementIndex.h"

namespace cranberryreel::policy
{

/// What sets one kind of work apart from the others in placement: which of the VMs that fit is best, and what the kind may do. One immortal object a kind.
class ClassPolicy
{
public:
    virtual ~ClassPolicy() = default;

    /// Lower is better. Called only for VMs with room for the task.
    virtual double score(const Ledger &ledger, VmIndex vm, const JobEntry &job) const = 0;

    /// How many VMs are compared before the best is taken.
    virtual SearchBreadth breadth() const = 0;

    /// Served ahead of other kinds while the partner is within its due.
    virtual bool isUrgent() const = 0;

    /// May be checkpointed and stopped to make room.
    virtual bool isPreemptible() const = 0;

    /// May use room that is held for a gang when it ends before the gang needs it.
    virtual bool mayBackfill() const = 0;

    static const ClassPolicy &of(model::JobKind kind);
};

} // namespace cranberryreel::policy
