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

/// A call that has ended, with its result.
struct EndedCall {
    CallDone done;
    CallResult result;
};

/// Runs the callback of each call.
void endCalls(std::vector<EndedCall> calls);

/// The outgoing queue of one peer: frames not passed to its connection yet, and calls not answered yet. Has its own lock, so that threads that send to
/// different peers do not contend. Owned by a PeerLink or a LocalLink; any thread.
class Outbox
{
public:
    explicit Outbox(const LinkLimits &linkLimits);

    /// Starts accepting frames for a new connection, identified by `connectionGeneration`.
    void open(std::uint64_t connectionGeneration);

    /// Drops all queued frames and ends every call with LinkDown; a call counts as unsent if its frame was still queued.
    std::vector<EndedCall> close();

    bool isOpen() const;

    /// Queues a frame. Returns false when the outbox is closed or full.
    bool push(std::string frame);

    /// Like push(), but also returns false unless `connectionGeneration` identifies the current connection.
    bool pushForConnection(std::uint64_t connectionGeneration, std::string frame);

    /// Queues a call. Returns `done` back when the outbox is closed or full.
    std::optional<CallDone> pushCall(std::uint64_t id, std::string frame, base::SteadyTime deadline, CallDone done);

    /// Moves queued frames to the end of `output`, until they make up at least `bytes` bytes or the queue is empty. Their calls count as sent from then on.
    /// Drops the frames of calls whose deadline has passed; expire() ends these calls as unsent.
    void takeFrames(std::size_t bytes, std::string &output, base::SteadyTime now);

    /// Marks a call that is delivered without a connection as sent. Returns false when it has ended already or its deadline has passed.
    bool markSent(std::uint64_t id, base::SteadyTime now);

    /// Removes the call with this id and returns its callback; returns nothing when the call has ended already.
    std::optional<CallDone> takeAnsweredCall(std::uint64_t id);

    std::vector<EndedCall> expire(base::SteadyTime now);
    std::optional<base::SteadyTime> nextDeadline() const;

private:
    struct WaitingFrame {
        std::string bytes;
        std::uint64_t callId = 0; ///< 0 for a frame that is not a call.
    };

    struct PendingCall {
        CallDone done;
        base::SteadyTime deadline;
        bool sent = false;
    };

    bool hasCapacity(std::size_t bytes) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void enqueue(std::string frame, std::uint64_t callId) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void dropWaitingFrame(std::uint64_t callId) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

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
