#pragma once

#include "base/Mailbox.h"
#include "cell/KnownVms.h"
#include "cell/generated/cell_generated.h"
#include "link/LinkHub.h"

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// How a peer call to the cell's leading scheduler ended.
struct CallOutcome {
    bool answered = false; ///< The leading scheduler answered with `reply`.
    bool mayHaveActed = false; ///< A try without an answer may have been carried out, or may still be.
    wire::ReplyT reply;
};

using CallOutcomeCallback = std::function<void(CallOutcome)>;

/// Sends peer calls to the leading scheduler: tries VM after VM until one answers as the leader or the deadline passes. The VMs to try are the seeds, the
/// members and VMs that replies name. Any thread. Owned by the CellDaemon.
class CellCaller
{
public:
    /// A VM is named by its IP address; every VM accepts links at `linkPort`. After `leaderlessLimit` with links but without a leader, a call fails as soon as
    /// all linked VMs have answered that they do not lead.
    CellCaller(link::LinkHub &linkHub,
               std::uint16_t linkPort,
               const std::vector<std::string> &seeds,
               std::chrono::milliseconds leaderlessLimit = std::chrono::seconds(10));

    void start();
    void stop();

    /// `tryLimit` bounds the wait for one VM, `limit` the whole call. `done` is called once on any thread, within `limit`.
    void call(const wire::CallT &call, std::chrono::milliseconds limit, std::chrono::milliseconds tryLimit, CallOutcomeCallback done);

    /// Looks up the leader and the members now and once a second. `relayZone`: the zone for which this VM offers to relay upstream calls; empty for none.
    void startLookups(const std::string &relayZone);

    /// Replaces the VMs that the settings list.
    void setSeeds(const std::vector<std::string> &seeds);

    /// Replaces the members that this VM's own log of the group names.
    void setLoggedMembers(const std::vector<std::string> &members);

    /// Handles an announcement by `vm` that it leads `term`: calls that wait for another VM are redirected to it at once.
    void leaderAnnounced(const std::string &vm, std::uint64_t term);

    /// Whether a leading scheduler answered or announced itself within `age`.
    bool heardLeaderWithin(std::chrono::milliseconds age) const;

    /// Whether this VM has links to some of the known VMs, but to fewer than half of the members that the leader named last: the group then has no leader, or
    /// this VM is on the minority side of a network partition. False without any link: all VMs may be restarting, and calls wait for them.
    bool isCutOff() const;

    /// The VM that is believed to lead; empty if none is known.
    std::string leader() const;

    /// The members, the seeds and the VMs that replies named.
    std::vector<std::string> knownVms() const;

private:
    struct PendingCall;

    void tryNext(const std::shared_ptr<PendingCall> &pending);
    void handleTryResult(const std::shared_ptr<PendingCall> &pending, const std::string &vm, std::uint64_t number, const link::CallResult &result);
    void redirectTo(const std::string &vm);
    void finish(const std::shared_ptr<PendingCall> &pending, CallOutcome outcome);
    std::string chooseVm(PendingCall &pending);
    bool isLongLeaderless() const;
    void learnFromReply(const std::string &vm, const wire::ReplyT &reply);
    void addNamed(const std::string &vm) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void updatePeers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    link::LinkHub &hub;
    const std::uint16_t linkPort;
    const std::chrono::milliseconds leaderlessLimit;
    base::Mailbox timers;
    mutable absl::Mutex mutex;
    KnownVms vms ABSL_GUARDED_BY(mutex);
    std::set<std::string> dialedVms ABSL_GUARDED_BY(mutex);
    std::string leaderVm ABSL_GUARDED_BY(mutex);
    base::SteadyTime leaderAnsweredAt ABSL_GUARDED_BY(mutex){};
    std::uint64_t leaderTerm ABSL_GUARDED_BY(mutex) = 0; ///< The highest term that a VM announced.
    base::SteadyTime unlinkedAt = base::steadyNow(); ///< When no VM was linked last. Used on the thread of `timers` only.
    std::set<std::shared_ptr<PendingCall>> pendingCalls; ///< Calls without an outcome. Used on the thread of `timers` only.
};

} // namespace cranberryreel::cell
