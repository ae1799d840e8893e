#pragma once

#include "replication/Core.h"
#include "replication/CoreSafety.h"
#include "replication/Group.h"
#include "replication/GroupInbox.h"
#include "replication/GroupRunnerOptions.h"
#include "replication/PendingProposals.h"
#include "replication/PendingReads.h"
#include "replication/StorageThread.h"

#include "cranberryreel/base/Error.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace cranberryreel::replication
{

/// A Group that runs on its own thread: it passes messages, proposals and the time to the core and carries out the core's outputs. Built by GroupBuilder.
/// Load pattern: a disk fills up or refuses writes for seconds, and shortly after it recovers another member is lost. The member leaves the group as if its
/// process had ended, retries, and returns with what its disk holds as soon as the disk accepts writes again. A disk that neither answers nor fails suspends
/// it: it takes no requests until the disk answers.
class GroupRunner : public Group
{
public:
    /// Recovers the state from the store; throws base::Error(LogCorrupt) or (SnapshotCorrupt). A store that cannot be written yet, or does not answer within
    /// the limit of a request, is retried after start().
    explicit GroupRunner(GroupRunnerOptions options);
    ~GroupRunner() override;

    void start() override;
    void stop(std::chrono::milliseconds limit) override;
    void propose(std::string command, Durability durability, ProposeCallback done) override;
    void readBarrier(std::function<void(base::ResultCode)> done) override;
    void changeMembers(std::vector<Member> members, ProposeCallback done) override;
    void setStandbys(std::vector<std::string> vms) override;
    void raiseTerm(std::uint64_t atLeast) override;
    void receive(const std::string &fromVm, std::string bytes) override;
    GroupStatus status() const override;
    bool holdsLease(base::SteadyTime now) const override;

private:
    void run();
    void runOnce();

    // GroupRunnerStorage.cpp
    void recover(base::SteadyTime until);
    void handleFailedWrite(const base::Error &error);
    void reportNoStore(const std::string &reason);
    void awaitStorage();
    void awaitRecovery();
    void callStore(StorageThread::Call call);
    void throwIfStopIsDue(base::SteadyTime now);
    void failRequests(const std::string &reason);
    void leaveGroup(const std::string &reason);
    void compactIfDue();
    void handleFailedCompaction(const base::Error &error);

    // GroupRunner.cpp
    GroupInbox waitForWork();
    void handleInbox(GroupInbox &inbox);
    void handleProposals(std::vector<GroupInbox::Proposal> &proposals, base::SteadyTime now);
    void handleChange(GroupInbox::MembersChange &change);
    void processOutputs();
    void processOutput(const std::shared_ptr<const CoreOutput> &output);
    void restore(const Snapshot &snapshot);
    void apply(const Entry &entry);
    void publishLease();
    void publishStatus();
    void notifyLeadershipChange();
    void logRefusedVotes(const std::vector<RefusedVote> &refused);
    void logAvailability(const GroupStatus &status);
    void sendAll(const std::vector<Message> &messages);
    bool shouldStop(base::SteadyTime now);

    GroupRunnerOptions options;
    CoreSafety safety;
    std::thread thread;

    // Used by the group's thread only.
    StorageThread storage;
    std::shared_ptr<Recovered> recovered; ///< What the store's recovery under way will find; null while there is none.
    std::unique_ptr<Core> core; ///< Null while the store cannot be written.
    base::SteadyTime nextRecovery{}; ///< When the store is tried again while there is no core.
    PendingProposals pending;
    PendingReads reads;
    std::uint64_t applied = 0;
    std::uint64_t snapshotIndex = 0;
    std::size_t bytesSinceSnapshot = 0; ///< Payload bytes of entries applied since the last snapshot.
    base::SteadyTime nextCompaction{}; ///< After a failed compaction, when the next one is tried.
    std::uint64_t proposedTerm = 0; ///< The term of the pending proposals.
    std::uint64_t announcedTerm = 0; ///< The term whose leadership was reported to the listener; 0 for none.
    RefusedVote lastRefusedVote; ///< As logged last.
    base::SteadyTime refusedVoteLoggedAt{};
    std::string unavailableReason; ///< As logged last; empty while the group can commit.
    base::SteadyTime unavailableLoggedAt{};
    std::string initialState; ///< Snapshot of the state machine before any entry was applied.
    std::optional<base::SteadyTime> stopBy;

    std::atomic<base::SteadyTime::rep> leaseEnd{0};
    std::atomic<std::uint64_t> droppedMessages{0};
    mutable absl::Mutex mutex;
    GroupInbox inbox ABSL_GUARDED_BY(mutex);
    base::SteadyTime abandonStoreBy ABSL_GUARDED_BY(mutex){}; ///< After a stop(): how long a call to the store is waited for.
    bool ended ABSL_GUARDED_BY(mutex) = true;
    GroupStatus published ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::replication
