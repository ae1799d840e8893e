#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "zone/SchedulerContext.h"
#include "zone/TaskChange.h"

#include <array>
#include <functional>
#include <vector>

namespace cranberryreel::zone
{

/// Gathers task changes and proposes them to the group together, so that neighbours share one round trip. Work that must not run twice goes by way of a
/// synced disk. Owned by LeaderTerm; one thread.
class ChangeBatch
{
public:
    /// Ok: kept and allowed. NotFound: kept, but the step was not allowed any more. NoDurableStore: provably not kept.
    using Done = std::function<void(base::ResultCode)>;

    /// `wantFlush` is called for each added change; it must lead to a flush() soon.
    ChangeBatch(SchedulerContext &schedulerContext, std::function<void()> wantFlush);

    void add(TaskChange change, bool repeatable, Done done);

    /// Proposes what was gathered.
    void flush();

private:
    struct Lane {
        std::vector<TaskChange> changes;
        std::vector<Done> done;
    };

    void propose(Lane lane, replication::Durability durability);

    SchedulerContext &context;
    std::function<void()> requestFlush;
    Lane repeatable;
    Lane once;
};

} // namespace cranberryreel::zone
