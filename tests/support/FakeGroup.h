#pragma once

#include "replication/Group.h"
#include "replication/StateMachine.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <string>

namespace cranberryreel::testsupport
{

/// A group of one member that applies commands at once. Tests switch its disk, lease and leadership. Owned by a test.
class FakeGroup : public replication::Group
{
public:
    explicit FakeGroup(replication::StateMachine &stateMachine);

    void start() override;
    void stop(std::chrono::milliseconds limit) override;
    void propose(std::string command, replication::Durability durability, replication::ProposeCallback done) override;
    void readBarrier(std::function<void(base::ResultCode)> done) override;
    void receive(const std::string &fromVm, std::string bytes) override;
    void changeMembers(std::vector<replication::Member> members, replication::ProposeCallback done) override;
    void setStandbys(std::vector<std::string> vms) override;
    void raiseTerm(std::uint64_t atLeast) override;
    replication::GroupStatus status() const override;
    bool holdsLease(base::SteadyTime now) const override;

    std::atomic<bool> leads{true};
    std::atomic<bool> hasDisk{true};
    std::atomic<int> proposalsToRefuse{0}; ///< So many proposals from now on are not committed.

    /// While true, proposals wait, as with a slow disk.
    std::atomic<bool> stalls{false};

    /// Ends the stall and applies the waiting proposals.
    void resume();

    std::atomic<std::uint64_t> raisedTo{0};
    std::atomic<std::uint64_t> proposals{0};

private:
    void apply(const std::string &command, const replication::ProposeCallback &done);

    replication::StateMachine &machine;
    absl::Mutex mutex;
    std::uint64_t index ABSL_GUARDED_BY(mutex) = 0;
    std::vector<std::pair<std::string, replication::ProposeCallback>> waiting ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::testsupport
