#pragma once

#include "cell/generated/cell_generated.h"

#include "cranberryreel/base/ResultCode.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::cell
{

/// Receives the outcome of a change. Ok: committed and applied; NotLeader: not committed and never will be; GroupUnavailable: unknown.
using CommitCallback = std::function<void(base::ResultCode)>;

/// Collects the changes for the next log entry and the callbacks that wait for their outcome. While one batch is being committed, the next one collects, so
/// that a single disk sync covers all changes that arrive meanwhile. Used by the scheduler's thread only. Owned by the TermContext.
class CommandBatch
{
public:
    /// The command that collects the changes.
    wire::CommandT &command()
    {
        return *this->pending;
    }

    /// Calls `done` with the outcome of this batch.
    void onOutcome(CommitCallback done)
    {
        this->callbacks.push_back(std::move(done));
    }

    /// Has the batch proposed even if it collects no change, for a callback that waits until the earlier ones are committed.
    void requireCommit()
    {
        this->commitRequired = true;
    }

    /// Whether there is nothing to propose.
    bool empty() const
    {
        const wire::CommandT &next = *this->pending;
        return !this->commitRequired && !next.rules && next.upstreams.empty() && next.ends.empty() && next.jobs.empty() && next.cancels.empty()
            && next.placements.empty() && next.due.empty() && next.forget.empty() && next.forget_cancelled.empty() && next.begun.empty()
            && next.team_cancels.empty();
    }

    /// Returns the batch with its callbacks and starts an empty one.
    std::pair<std::unique_ptr<wire::CommandT>, std::vector<CommitCallback>> take()
    {
        this->commitRequired = false;
        return {std::exchange(this->pending, std::make_unique<wire::CommandT>()), std::exchange(this->callbacks, {})};
    }

private:
    std::unique_ptr<wire::CommandT> pending = std::make_unique<wire::CommandT>();
    std::vector<CommitCallback> callbacks;
    bool commitRequired = false;
};

} // namespace cranberryreel::cell
