#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "zone/SchedulerContext.h"
#include "zone/TaskChange.h"

#include <array>
#include <functional>
#include <vector>

namespace cranberryreel::zone
{

/// Collects task changes and proposes them to the group as one command, so that several changes share one round trip. Changes of work that must not run twice
/// are committed with a synced disk. Owned by LeaderTerm; used on the scheduler's thread only.
class ChangeBatch
{
public:
    /// Receives the result of one change. Ok: committed and applied. NotFound: committed, but the rules no longer allowed the change. NoDurableStore:
    /// provably not committed.
    using DoneCallback = std::function<void(base::ResultCode)>;

    /// `flushRequest` is called for each added change and must cause a call of flush() soon.
    ChangeBatch(SchedulerContext &schedulerContext, std::function<void()> flushRequest);

    /// Adds a change; `done` is called once with the result, on the scheduler's thread.
    void add(TaskChange change, bool repeatable, DoneCallback done);

    /// Proposes all collected changes to the group.
    void flush();

private:
    struct PendingChanges {
        std::vector<TaskChange> changes;
        std::vector<DoneCallback> done;
    };

    void propose(PendingChanges pending, replication::Durability durability);

    SchedulerContext &context;
    std::function<void()> requestFlush;
    PendingChanges repeatableChanges;
    PendingChanges runOnceChanges;
};

} // namespace cranberryreel::zone
