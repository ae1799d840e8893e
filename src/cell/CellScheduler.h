#pragma once

#include "base/Mailbox.h"
#include "cell/CellTerm.h"
#include "replication/Group.h"

#include <atomic>
#include <functional>
#include <memory>

namespace cranberryreel::cell
{

/// The cell's scheduler on one VM that holds the state. It schedules only while this VM leads the replication group. Any thread. Owned by the CellMember.
class CellScheduler : public replication::LeadershipListener
{
public:
    CellScheduler(CellOptions cellOptions, CellStore &cellStore, UpstreamCalls &upstreamCalls, AdviceDispatcher &adviceDispatcher);

    /// Sets the replication group. Called before start().
    void attach(replication::Group &cellGroup);

    /// Called on the scheduler's thread when a term of leadership has begun. Set before start().
    std::function<void(std::uint64_t term)> onLeadershipAcquired;

    void start();
    void stop();

    /// Handles a peer call. The reply is NotLeader if another VM leads; the call has then certainly not been carried out.
    void call(wire::CallT call, ReplyCallback reply);

    void leadershipAcquired(std::uint64_t term) override;
    void leadershipLost(std::uint64_t term) override;

private:
    void scheduleTick();

    const CellOptions options;
    CellStore &store;
    UpstreamCalls &calls;
    AdviceDispatcher &advice;
    replication::Group *group = nullptr;
    base::Mailbox mailbox;
    std::shared_ptr<CellTerm> term; ///< Used on the thread of `mailbox` only; null while this VM does not lead.
};

} // namespace cranberryreel::cell
