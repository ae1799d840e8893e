#include "replication/GroupRunner.h"

#include "observe/Log.h"
#include "observe/Metrics.h"

#include <absl/time/time.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

constexpr std::chrono::milliseconds StorageRetryInterval{200};
constexpr std::chrono::milliseconds StoragePollInterval{100};

const observe::Log &log()
{
    static const observe::Log replicationLog("replication");
    return replicationLog;
}

std::int64_t millisecondsSince(base::SteadyTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::steadyNow() - time).count();
}

} // namespace

/// Makes a core from what the store holds, as a new run of this member. Without a core afterwards if the store fails or does not answer until `until`; a call
/// that has not ended is waited for by the next recover().
void GroupRunner::recover(base::SteadyTime until)
{
    try {
        if (!this->recovered) {
            this->recovered = std::make_shared<Recovered>();
            this->storage.start([found = this->recovered](LogStore &store) { *found = store.recover(); });
        }
        if (!this->storage.awaitEnd(until)) {
            this->reportNoStore("The disk does not answer.");
            return;
        }
        const auto found = std::exchange(this->recovered, nullptr);
        this->storage.finish();
        this->restore(found->snapshot ? *found->snapshot : Snapshot());
        this->core = std::make_unique<Core>(this->options.core, *found, this->safety, base::steadyNow());
        this->bytesSinceSnapshot = 0;
        this->proposedTerm = 0;
        ++this->options.core.boot; // Each run of a member has its own number.
        this->publishStatus();
    } catch (const base::Error &error) {
        if (error.code() != base::ResultCode::StorageWriteFailed) {
            throw;
        }
        this->reportNoStore(error.what());
    }
}

void GroupRunner::handleFailedWrite(const base::Error &error)
{
    if (error.code() != base::ResultCode::StorageWriteFailed) {
        throw error;
    }
    static observe::Counter &failures = observe::counter("cranberryreel_group_storage_failures_total", "Failed writes of a member's log.");
    failures.add();
    log().error("Member leaves the group until its log can be written: {}", error.what());
    this->leaveGroup(error.what());
    this->core.reset();
    this->nextRecovery = base::steadyNow() + StorageRetryInterval;
}

void GroupRunner::reportNoStore(const std::string &reason)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->published.reason != reason) {
        log().error("The log cannot be used yet: {}", reason);
    }
    this->published.reason = reason;
}

void GroupRunner::awaitStorage()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->mutex.AwaitWithTimeout(absl::Condition(
                                         +[](GroupInbox *work) { return work->stopBy.has_value(); }, &this->inbox),
                                     absl::FromChrono(std::max(this->nextRecovery - base::steadyNow(), base::SteadyTime::duration::zero())));
        this->stopBy = this->inbox.stopBy;
    }
    if (this->stopBy) {
        this->awaitRecovery();
        return;
    }
    this->nextRecovery = base::steadyNow() + StorageRetryInterval;
    this->recover(this->nextRecovery);
    if (this->core) {
        log().info("Member returns to the group: its log can be written again, last index {}.", this->core->log().lastIndex());
        const absl::MutexLock lock(&this->mutex);
        this->ended = false;
    }
}

/// Before the stop: lets a recovery end that is under way, so that no thread uses the folder afterwards.
void GroupRunner::awaitRecovery()
{
    base::SteadyTime until;
    {
        const absl::MutexLock lock(&this->mutex);
        until = this->abandonStoreBy;
    }
    if (this->recovered && !this->storage.awaitEnd(until)) {
        log().error("The disk does not answer; the member stops during a recovery of its log.");
    }
}

/// Runs a call to the store and waits for its end. If the disk does not answer within the limit of a request, all requests are answered and later ones rejected
/// until it does; the member itself goes on where it was. Throws what the call threw, or base::Error(ShuttingDown) when a stop is due before its end.
void GroupRunner::callStore(StorageThread::Call call)
{
    const base::SteadyTime start = base::steadyNow();
    const base::SteadyTime answerBy = start + this->options.core.timings.requestLimit;
    bool suspended = false;
    this->storage.start(std::move(call));
    while (!this->storage.awaitEnd(base::steadyNow() + StoragePollInterval)) {
        const base::SteadyTime now = base::steadyNow();
        if (!suspended && now >= answerBy) {
            static observe::Counter &stalls =
                observe::counter("cranberryreel_group_storage_stalls_total", "Writes of a member's log that took longer than a request may.");
            stalls.add();
            log().error("The disk has not answered for {} ms; the member takes no requests until it does.", millisecondsSince(start));
            this->failRequests("The disk does not answer.");
            suspended = true;
        }
        this->throwIfStopIsDue(now);
    }
    this->storage.finish();
    if (suspended) {
        log().info("The disk answers again after {} ms.", millisecondsSince(start));
        const absl::MutexLock lock(&this->mutex);
        this->ended = false;
    }
}

void GroupRunner::throwIfStopIsDue(base::SteadyTime now)
{
    const absl::MutexLock lock(&this->mutex);
    const bool stops = this->stopBy || this->inbox.stopBy;
    if (stops && now >= this->abandonStoreBy) {
        throw base::Error(base::ResultCode::ShuttingDown, "The disk does not answer, and the member must stop.");
    }
}

/// Gives up the lease, fails all requests and takes no further ones. The status is published first, since the callbacks may read it.
void GroupRunner::failRequests(const std::string &reason)
{
    this->leaseEnd = 0;
    GroupInbox remaining;
    {
        const absl::MutexLock lock(&this->mutex);
        this->ended = true;
        this->published.leaderVm.clear();
        this->published.caughtUp = false;
        this->published.reason = reason;
        remaining = std::exchange(this->inbox, GroupInbox());
        this->inbox.stopBy = remaining.stopBy;
        this->inbox.raiseTermTo = remaining.raiseTermTo;
    }
    this->pending.failAll();
    this->reads.failAll();
    remaining.rejectAll();
}

/// Fails all requests and reports the loss of leadership.
void GroupRunner::leaveGroup(const std::string &reason)
{
    this->failRequests(reason);
    if (this->announcedTerm != 0 && this->options.listener != nullptr) {
        this->options.listener->leadershipLost(this->announcedTerm);
    }
    this->announcedTerm = 0;
}

void GroupRunner::compactIfDue()
{
    const bool manyEntries = this->applied >= this->snapshotIndex + this->options.snapshotEveryEntries;
    const bool due = manyEntries || this->bytesSinceSnapshot >= this->options.snapshotEveryBytes;
    if (!due || base::steadyNow() < this->nextCompaction) {
        return;
    }
    const auto snapshot = this->core->compact(this->options.stateMachine->snapshot(), this->options.retainedEntries, this->options.retainedBytes);
    std::vector<Entry> after = this->core->log().slice(snapshot->index + 1, std::numeric_limits<std::size_t>::max(), std::numeric_limits<std::size_t>::max());
    try {
        this->callStore([snapshot, hardState = this->core->hardState(), entriesAfter = std::move(after)](LogStore &store) {
            store.compact(*snapshot, hardState, entriesAfter);
        });
        this->bytesSinceSnapshot = 0;
        this->snapshotIndex = snapshot->index;
    } catch (const base::Error &error) {
        this->handleFailedCompaction(error);
    }
}

/// The member goes on without a shorter log; if the store cannot go on, the next write fails.
void GroupRunner::handleFailedCompaction(const base::Error &error)
{
    if (error.code() != base::ResultCode::StorageWriteFailed) {
        throw error;
    }
    static observe::Counter &failures = observe::counter("cranberryreel_group_compaction_failures_total", "Failed compactions of a member's log.");
    failures.add();
    constexpr base::ResultCode Reported = base::ResultCode::LogNotCompacted;
    log().error("{} {}: the member goes on with the whole log and retries; {} bytes applied since the last snapshot. {}",
                static_cast<int>(Reported),
                base::resultName(Reported),
                this->bytesSinceSnapshot,
                error.what());
    this->nextCompaction = base::steadyNow() + this->options.compactionRetryInterval;
}

} // namespace cranberryreel::replication
