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

struct DispatchReply {
    base::ResultCode code = base::ResultCode::Ok; ///< Ok: `status` holds.
    std::string reason;
    model::JobStatus status;
};

struct AnnounceReply {
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
    std::uint64_t epoch = 0; ///< Of the zone's scheduler.
    std::chrono::milliseconds nextIn{1000}; ///< When to announce again.
};

using DispatchDone = std::function<void(DispatchReply)>;
using AnnounceDone = std::function<void(AnnounceReply)>;
using TextDone = std::function<void(base::ResultCode, std::string json)>;

/// What the HTTP side of an entry VM needs from the rest of the daemon: work goes to the scheduler of its home zone, wherever that runs. Implemented by the
/// daemon, and by a fake in tests. Callbacks run once, on any thread; none blocks.
class Dispatcher
{
public:
    virtual ~Dispatcher() = default;

    /// Requests: answers when the outcome is known. Jobs: answers when the job is kept.
    virtual void submit(model::JobSpec spec, const std::string &traceparent, DispatchDone done) = 0;

    /// Answers with the state now; with `wait` above zero at the latest after so long, sooner once it is final.
    virtual void lookup(const model::JobId &id, std::chrono::milliseconds wait, const std::string &traceparent, DispatchDone done) = 0;
    virtual void cancel(const model::JobId &id, const std::string &traceparent, DispatchDone done) = 0;
    virtual void announce(model::UpstreamReport report, AnnounceDone done) = 0;

    /// Operators' views, as JSON: "upstreams", "jobs", "shares", "zones" with an optional filter (a zone, a partner); "explain" with a job id.
    virtual void view(const std::string &what, const std::string &filter, TextDone done) = 0;
    virtual void drain(const std::string &vm, bool draining, TextDone done) = 0;

    /// Makes these VMs, and the witness where one is named, the members of the zone's group.
    virtual void changeMembers(const std::string &zone, const std::vector<std::string> &vms, const std::string &witness, TextDone done) = 0;
};

} // namespace cranberryreel::entry
