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

struct SubmitCall {
    model::JobSpec spec; ///< Its deadline counts from the call's arrival.
    bool mayExist = false; ///< An earlier call with the same id got no answer.
};

struct LookupCall {
    model::JobId id;
    std::chrono::milliseconds wait{0};
};

struct CancelCall {
    model::JobId id;
};

/// A further piece of an answer too large for one frame.
struct AnswerCall {
    model::JobId id;
    std::uint64_t offset = 0;
};

struct AnnounceCall {
    model::UpstreamReport report;
};

struct ViewCall {
    std::string what;
    std::string filter;
};

struct DrainCall {
    std::string vm;
    bool draining = true;
};

/// An operator's change of the zone group's members.
struct MembersCall {
    std::vector<replication::Member> members;
};

using CallBody = std::variant<SubmitCall, LookupCall, CancelCall, AnswerCall, AnnounceCall, ViewCall, DrainCall, MembersCall>;

/// A call to the active scheduler of `zone`, from any daemon.
struct ZoneCall {
    std::string zone;
    CallBody body;
};

} // namespace cranberryreel::zone
