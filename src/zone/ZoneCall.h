#pragma once

#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/UpstreamReport.h"

#include "replication/Member.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cranberryreel::zone
{

/// Submits a job.
struct SubmitCall {
    model::JobSpec spec; ///< The deadline counts from the arrival of the call.
    bool mayExist = false; ///< An earlier call with the same id was not answered.
};

/// Reads the status of a job; with `wait`, once the job is final or the wait is over.
struct LookupCall {
    model::JobId id;
    std::chrono::milliseconds wait{0};
};

struct CancelCall {
    model::JobId id;
};

/// Reads a further piece of an answer that is too large for one frame.
struct AnswerCall {
    model::JobId id;
    std::uint64_t offset = 0; ///< Bytes.
};

/// Forwards an upstream's announcement.
struct AnnounceCall {
    model::UpstreamReport report;
};

/// Requests a view; see ViewRenderer::render().
struct ViewCall {
    std::string what;
    std::string filter;
};

/// Starts or ends the draining of a VM.
struct DrainCall {
    std::string vm;
    bool draining = true;
};

/// Replaces the members of the zone group, on an operator's request.
struct MembersCall {
    std::vector<replication::Member> members;
};

using CallBody = std::variant<SubmitCall, LookupCall, CancelCall, AnswerCall, AnnounceCall, ViewCall, DrainCall, MembersCall>;

/// A peer call to the active scheduler of `zone`. Any daemon may send one.
struct ZoneCall {
    std::string zone;
    CallBody body;
};

} // namespace cranberryreel::zone
