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

/// One start, as it goes to an upstream.
struct StartOrder {
    std::string taskId; ///< "<job id>.<task index>"; a second start of the same task and attempt is answered like the first, not run again.
    std::uint32_t attempt = 1;
    std::uint64_t epoch = 0; ///< The upstream refuses epochs lower than the highest it has seen.
    std::string boot; ///< The boot id for which it is meant; an upstream that has another by now refuses it. Empty: any.
    std::chrono::milliseconds expiresIn{0}; ///< The upstream drops a start that it reads later than this after it was sent, as far as it can tell.
    std::chrono::milliseconds lease{0}; ///< The upstream ends the task when no renewal of its lease came for so long.
    std::chrono::milliseconds waitForEnd{0}; ///< The upstream may hold its answer so long, to answer with the end of the task.
    model::JobKind kind = model::JobKind::Request;
    std::string partner;
    std::string name;
    model::Resources reserved;
    std::string payload;
};

/// The answer to a start or to a question after a task.
struct TaskAnswer {
    /// Ok: `report` holds. UpstreamRefused and UpstreamStaleEpoch: provably not started by this call. NotFound: the upstream has never started it or has
    /// forgotten it. UpstreamUnreachable with sent == false: provably not started; with sent == true: it may have.
    base::ResultCode code = base::ResultCode::Ok;
    bool sent = true;
    model::TaskReport report;
};

struct RenewOrder {
    std::uint64_t epoch = 0;
    std::chrono::milliseconds lease{0}; ///< 0: extends nothing, only fences and reads back.
    bool whole = true; ///< False: running tasks may be left out of the answer, to save bytes.
    std::vector<model::TaskAttempt> acknowledged; ///< Ended attempts whose end is kept here; the upstream may forget them.
};

/// The answer to a renewal; on Ok the upstream has seen the epoch, so that lower ones are fenced out, and `report` lists all it runs.
struct RenewAnswer {
    base::ResultCode code = base::ResultCode::Ok;
    model::UpstreamReport report;
};

using TaskDone = std::function<void(TaskAnswer)>;
using RenewDone = std::function<void(RenewAnswer)>;

enum class TaskCommand : std::uint8_t {
    Stop,
    Throttle,
    Checkpoint,
};

/// The only way to an upstream: start, renew, ask, command. Callbacks run once each, on the adapter's own thread, at the latest when the limit has passed;
/// they must not block. Owned by the daemon; shared by its parts.
class UpstreamAdapter
{
public:
    virtual ~UpstreamAdapter() = default;

    virtual void start(const std::string &address, const StartOrder &order, std::chrono::milliseconds limit, const std::string &traceparent, TaskDone done) = 0;
    virtual void renew(const std::string &address, const RenewOrder &order, std::chrono::milliseconds limit, RenewDone done) = 0;

    /// Always on a new connection: the old one may be dead for good.
    virtual void ask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, TaskDone done) = 0;

    /// A stop also has the upstream refuse a start of this attempt, or an earlier one, that arrives late.
    virtual void command(const std::string &address,
                         const std::string &taskId,
                         std::uint32_t attempt,
                         TaskCommand command,
                         std::uint64_t epoch,
                         std::chrono::milliseconds limit,
                         TaskDone done) = 0;
};

} // namespace cranberryreel::upstream
