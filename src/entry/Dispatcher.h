#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobStatus.h"
#include "cranberryreel/model/UpstreamReport.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::entry
{

/// The scheduler's reply about one piece of work.
struct DispatchReply {
    base::ResultCode code = base::ResultCode::Ok; ///< `status` is valid only if this is Ok.
    std::string reason;
    model::JobStatus status;
};

/// The scheduler's reply to an announcement.
struct AnnounceReply {
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
    std::uint64_t epoch = 0; ///< Epoch of the zone's scheduler.
    std::chrono::milliseconds nextIn{1000}; ///< Time until the next announcement.
};

using DispatchDone = std::function<void(DispatchReply)>;
using AnnounceDone = std::function<void(AnnounceReply)>;
/// Receives the JSON text, or the reason if the code is not Ok.
using TextDone = std::function<void(base::ResultCode, std::string json)>;

/// Sends the work that arrives at an entry VM to the scheduler of its home zone, on whichever VM that scheduler runs. Implemented by the daemon, and by a fake
/// in tests. No method blocks; each callback runs once, on any thread, and must not block either.
class Dispatcher
{
public:
    virtual ~Dispatcher() = default;

    /// Replies when the outcome of a request is known, or when a job is committed.
    virtual void submit(model::JobSpec spec, const std::string &traceparent, DispatchDone done) = 0;

    /// Replies with the current state at once if `wait` is 0, otherwise when the state is final or `wait` has passed.
    virtual void lookup(const model::JobId &id, std::chrono::milliseconds wait, const std::string &traceparent, DispatchDone done) = 0;
    virtual void cancel(const model::JobId &id, const std::string &traceparent, DispatchDone done) = 0;
    virtual void announce(model::UpstreamReport report, AnnounceDone done) = 0;

    /// Produces an operators' view as JSON: "upstreams", "jobs", "shares" or "zones", optionally filtered by zone or partner, or "explain" with a job id as
    /// the filter.
    virtual void view(const std::string &viewName, const std::string &filter, TextDone done) = 0;
    virtual void drain(const std::string &vm, bool draining, TextDone done) = 0;

    /// Replaces the members of the zone's replication group by these VMs and, unless empty, the witness.
    virtual void changeMembers(const std::string &zone, const std::vector<std::string> &vms, const std::string &witness, TextDone done) = 0;
};

} // namespace cranberryreel::entry
