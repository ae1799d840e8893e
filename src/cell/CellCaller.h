#pragma once

#include "base/Mailbox.h"
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

/// How a call to the cell's scheduler ended.
struct CallOutcome {
    bool answered = false; ///< The scheduler that leads answered; `reply` is its word.
    bool mayHaveActed = false; ///< Not answered, and some scheduler may have taken the call or may yet take it.
    wire::ReplyT reply;
};

using CallDone = std::function<void(CallOutcome)>;

/// Finds the scheduler that leads and calls it: from VM to VM until one answers as the leader or the time is up. It starts from the seeds and learns the
/// members from their answers. Any thread. Owned by the daemon.
class CellCaller
{
public:
    /// Peers listen at `linkPort` of the address that names them.
    CellCaller(link::LinkHub &linkHub, std::uint16_t linkPort, const std::vector<std::string> &seeds);

    void start();
    void stop();

    /// `tryLimit`: how long one VM may take. The callback comes on any thread, by the limit.
    void call(const wire::CallT &call, std::chrono::milliseconds limit, std::chrono::milliseconds tryLimit, CallDone done);

    /// Looks up the leader and the members now and every so often, and tells the zone of a VM that can reach upstreams; empty for others.
    void keepLookingUp(const std::string &relayZone);

    /// More VMs to look up the cell at, from changed settings.
    void addSeeds(const std::vector<std::string> &seeds);

    /// The VM says that it leads this term: calls that wait for another VM go to it at once.
    void leaderTells(const std::string &vm, std::uint64_t term);

    /// A scheduler that leads answered within `age`.
    bool inTouch(std::chrono::milliseconds age) const;

    /// This VM reaches some of those who may hold the state, but fewer than half: its zone is cut off from the others, and no leader can be on its side.
    /// Where none at all is reached they may all be restarting, and a call waits for them.
    bool cutOff() const;

    /// Empty when none is known.
    std::string leader() const;

    /// VMs that hold the cell's state, or may know who does.
    std::vector<std::string> known() const;

private:
    struct Attempt;

    void next(const std::shared_ptr<Attempt> &attempt);
    void tried(const std::shared_ptr<Attempt> &attempt, const std::string &vm, std::uint64_t number, const link::CallResult &result);
    void turnTo(const std::string &vm);
    void finish(const std::shared_ptr<Attempt> &attempt, CallOutcome outcome);
    std::string pick(Attempt &attempt);
    void learn(const std::string &vm, const wire::ReplyT &reply);
    void addPeer(const std::string &vm) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    link::LinkHub &hub;
    const std::uint16_t linkPort;
    base::Mailbox timers;
    mutable absl::Mutex mutex;
    std::vector<std::string> vms ABSL_GUARDED_BY(mutex); ///< Known to hold the cell's state, or to be seeds.
    std::string leaderVm ABSL_GUARDED_BY(mutex);
    base::SteadyTime leaderHeard ABSL_GUARDED_BY(mutex){};
    std::uint64_t leaderTerm ABSL_GUARDED_BY(mutex) = 0; ///< The highest that a VM told.
    std::set<std::shared_ptr<Attempt>> open; ///< Calls without an outcome. On the timers' thread only.
};

} // namespace cranberryreel::cell
