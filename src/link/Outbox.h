#pragma once

#include "link/LinkHub.h"
#include "link/LinkLimits.h"

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::link
{

/// A call that ended without an answer from the peer, or with one.
struct EndedCall {
    CallDone done;
    CallResult result;
};

/// Tells each caller.
void endCalls(std::vector<EndedCall> calls);

/// What waits for one peer: frames not handed to its connection yet, and calls not answered yet. One shard of the hub's state; any thread.
class Outbox
{
public:
    explicit Outbox(const LinkLimits &linkLimits);

    /// Opens for the frames of one connection, which `connectionGeneration` numbers.
    void open(std::uint64_t connectionGeneration);

    /// Drops the frames that wait and ends every call: not sent where its frame was still waiting.
    std::vector<EndedCall> close();

    bool isOpen() const;

    /// False when closed or full.
    bool push(std::string frame);

    /// The same, but false as well unless the connection is the one that `connectionGeneration` numbers.
    bool pushFor(std::uint64_t connectionGeneration, std::string frame);

    /// Returns `done` back when the call can't be taken: closed or full.
    std::optional<CallDone> pushCall(std::uint64_t id, std::string frame, base::SteadyTime deadline, CallDone done);

    /// Moves waiting frames, at least one and about `bytes` at most, to the end of `output`. From then on their calls count as sent.
    void take(std::size_t bytes, std::string &output);

    /// For a call that is delivered without a connection: it counts as sent from now on. False when it has ended already.
    bool start(std::uint64_t id);

    /// The call that an answer belongs to; nothing when it has ended already.
    std::optional<CallDone> answered(std::uint64_t id);

    std::vector<EndedCall> expire(base::SteadyTime now);
    std::optional<base::SteadyTime> nextDeadline() const;

private:
    struct WaitingFrame {
        std::string bytes;
        std::uint64_t callId = 0; ///< 0 for a frame that is no call.
    };

    struct PendingCall {
        CallDone done;
        base::SteadyTime deadline;
        bool sent = false;
    };

    bool hasRoom(std::size_t bytes) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void enqueue(std::string frame, std::uint64_t callId) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void dropWaiting(std::uint64_t callId) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const LinkLimits limits;
    mutable absl::Mutex mutex;
    bool opened ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t generation ABSL_GUARDED_BY(mutex) = 0;
    std::deque<WaitingFrame> waiting ABSL_GUARDED_BY(mutex);
    std::size_t waitingBytes ABSL_GUARDED_BY(mutex) = 0;
    absl::flat_hash_map<std::uint64_t, PendingCall> calls ABSL_GUARDED_BY(mutex);
    absl::btree_set<std::pair<base::SteadyTime, std::uint64_t>> deadlines ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::link
