#pragma once

#include "base/Mailbox.h"
#include "cell/CellTerm.h"
#include "replication/Group.h"

#include <atomic>
#include <functional>
#include <memory>

namespace cranberryreel::cell
{

/// The scheduler of a cell on one of the VMs that hold its state; it acts while this VM leads the group. Any thread. Owned by the CellMember.
class CellScheduler : public replication::LeadershipListener
{
public:
    CellScheduler(CellOptions cellOptions, CellStore &cellStore, UpstreamCalls &upstreamCalls, AdvicePool &advicePool);

    /// Before start().
    void attach(replication::Group &cellGroup);

    /// Called with the term on the scheduler's thread when it has begun to lead. Set before start().
    std::function<void(std::uint64_t term)> leads;

    void start();
    void stop();

    /// Answered NotLeader where another VM leads; that it has not acted is then certain.
    void call(wire::CallT call, Reply reply);

    void leadershipAcquired(std::uint64_t term) override;
    void leadershipLost(std::uint64_t term) override;

private:
    void scheduleTick();

    const CellOptions options;
    CellStore &store;
    UpstreamCalls &calls;
    AdvicePool &advice;
    replication::Group *group = nullptr;
    base::Mailbox mailbox;
    std::shared_ptr<CellTerm> term; ///< On the mailbox's thread only; null while another VM leads.
};

} // namespace cranberryreel::cell
