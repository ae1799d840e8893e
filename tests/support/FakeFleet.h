#pragma once

#include "cranberryreel/base/Clock.h"
#include "upstream/UpstreamAdapter.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <string>
#include <vector>

namespace cranberryreel::testsupport
{

/// The fault of one upstream or of the path to it.
enum class Trouble {
    None,
    Unreachable, ///< No request arrives.
    LosesAnswers, ///< Requests arrive and starts take effect, but every answer is lost.
    LosesStartAnswers, ///< Starts take effect but their answers are lost; other requests work.
    LosesStarts, ///< Starts are lost; other requests work.
    FailsAll, ///< Every task fails.
};

/// In-memory upstreams behind the adapter interface; counts every start that took effect. Owned by a test; may be used from any thread.
class FakeFleet : public upstream::UpstreamAdapter
{
public:
    void add(const std::string &id, const std::string &vm, std::uint32_t slots);
    void setTrouble(const std::string &id, Trouble trouble);

    /// Simulates a restart of the process: a new boot id, and all tasks are removed.
    void restart(const std::string &id);
    void setLeaving(const std::string &id);

    /// Gives the upstream another address; nobody answers at the earlier one.
    void move(const std::string &id, const std::string &address);

    /// Ends a running task.
    void finish(const std::string &taskId, model::JobState state, const std::string &answer);

    /// True: requests end at once. False: they run until finish().
    void setInstantRequests(bool instant);

    model::UpstreamReport report(const std::string &id) const;
    std::size_t startsOf(const std::string &taskId) const;
    std::size_t allStarts() const;

    /// Starts that took effect while another upstream still ran the same task within its lease.
    std::size_t overlaps() const;
    std::vector<std::string> running() const;

    void start(const std::string &address,
               const upstream::StartRequest &order,
               std::chrono::milliseconds limit,
               const std::string &traceparent,
               upstream::TaskDone done) override;
    void renew(const std::string &address, const upstream::RenewRequest &order, std::chrono::milliseconds limit, upstream::RenewDone done) override;
    void queryTask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, upstream::TaskDone done) override;
    void command(const std::string &address,
                 const std::string &taskId,
                 std::uint32_t attempt,
                 upstream::TaskCommand taskCommand,
                 std::uint64_t epoch,
                 std::chrono::milliseconds limit,
                 upstream::TaskDone done) override;

private:
    struct Instance {
        model::UpstreamReport self;
        std::map<std::string, model::TaskReport> tasks;
        std::map<std::string, std::uint32_t> lastRefusedAttempt;
        Trouble trouble = Trouble::None;
        base::SteadyTime leaseUntil;
        int boots = 1;
    };

    void endTasksWithExpiredLease() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool runsElsewhere(const Instance &except, const std::string &taskId) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    upstream::TaskAnswer startOn(Instance &instance, const upstream::StartRequest &order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    upstream::RenewAnswer renewOn(Instance &instance, const upstream::RenewRequest &order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::map<std::string, Instance> instances ABSL_GUARDED_BY(mutex); ///< By address, which is the id until move().
    std::map<std::string, std::size_t> starts ABSL_GUARDED_BY(mutex);
    std::size_t overlapCount ABSL_GUARDED_BY(mutex) = 0;
    bool instantRequests ABSL_GUARDED_BY(mutex) = true;
};

} // namespace cranberryreel::testsupport
