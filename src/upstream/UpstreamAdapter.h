#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"
#include "cranberryreel/model/TaskAttempt.h"
#include "cranberryreel/model/UpstreamReport.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::upstream
{

/// A request to an upstream to start one attempt of a task.
struct StartRequest {
    std::string taskId; ///< "<job id>.<task index>". A repeated start of the same task and attempt gets the same answer and does not run again.
    std::uint32_t attempt = 1;
    std::uint64_t epoch = 0; ///< The upstream refuses epochs below the highest one it has seen.
    std::string boot; ///< Boot id of the intended incarnation; an upstream with another boot id refuses the start. Empty: any.
    std::chrono::milliseconds expiresIn{0}; ///< The upstream drops a start that, as far as it can tell, it reads later than this after the send.
    std::chrono::milliseconds lease{0}; ///< The upstream ends the task if its lease is not renewed for this long.
    std::chrono::milliseconds waitForEnd{0}; ///< The upstream may delay its answer for this long, to include the end of the task.
    model::JobKind kind = model::JobKind::Request;
    std::string partner;
    std::string name;
    model::Resources reserved;
    std::string payload;
};

/// The answer to a start request, a query of a task, or a command.
struct TaskAnswer {
    /// Ok: `report` is valid. UpstreamRefused and UpstreamStaleEpoch: certainly not started by this call. NotFound: the upstream never started the task or has
    /// deleted its record. UpstreamUnreachable: certainly not started if `sent` is false, possibly started otherwise.
    base::ResultCode code = base::ResultCode::Ok;
    bool sent = true;
    model::TaskReport report;
};

/// A request to an upstream to renew the leases of all its tasks.
struct RenewRequest {
    std::uint64_t epoch = 0;
    std::chrono::milliseconds lease{0}; ///< 0: renews no lease, only fences lower epochs and reads back the tasks.
    bool includeRunning = true; ///< False: the answer may omit running tasks, to save bytes.
    std::vector<model::TaskAttempt> acknowledged; ///< Ended attempts whose end is stored here; the upstream may delete their records.
};

/// The answer to a renew request. If `code` is Ok, the upstream has seen the epoch and refuses lower ones, and `report` lists its tasks.
struct RenewAnswer {
    base::ResultCode code = base::ResultCode::Ok;
    model::UpstreamReport report;
};

using TaskDone = std::function<void(TaskAnswer)>;
using RenewDone = std::function<void(RenewAnswer)>;

/// Commands to a running task.
enum class TaskCommand : std::uint8_t {
    Stop,
    Throttle,
    Checkpoint,
};

/// The interface for all calls to upstreams. Any thread may call. Each callback runs once, on the adapter's own thread, at the latest when the limit has
/// passed, and must not block. Owned by the daemon and shared by its components.
class UpstreamAdapter
{
public:
    virtual ~UpstreamAdapter() = default;

    virtual void
    start(const std::string &address, const StartRequest &request, std::chrono::milliseconds limit, const std::string &traceparent, TaskDone done) = 0;
    virtual void renew(const std::string &address, const RenewRequest &request, std::chrono::milliseconds limit, RenewDone done) = 0;

    /// Queries the state of a task, always on a new connection, because a pooled one may be dead.
    virtual void queryTask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, TaskDone done) = 0;

    /// Sends a command to a task. After a stop, the upstream also refuses late starts of this attempt and of earlier ones.
    virtual void command(const std::string &address,
                         const std::string &taskId,
                         std::uint32_t attempt,
                         TaskCommand command,
                         std::uint64_t epoch,
                         std::chrono::milliseconds limit,
                         TaskDone done) = 0;
};

} // namespace cranberryreel::upstream
