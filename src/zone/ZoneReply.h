#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobStatus.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cranberryreel::zone
{

/// The answer of a zone scheduler to a ZoneCall.
struct ZoneReply {
    base::ResultCode code = base::ResultCode::Ok; ///< NotLeader: ask `leader` instead; the call had no effect here unless `mayExist` is set.
    std::string reason;
    std::string leader; ///< VM of the active scheduler; empty if unknown.
    std::uint64_t epoch = 0;
    bool mayExist = false; ///< The submitted work may be stored or started; submit the same id again to learn its state.
    std::chrono::milliseconds nextAnnouncementIn{0}; ///< Time until the next announcement is due; set for AnnounceCall.
    model::JobStatus status; ///< Contains only the first piece of a larger answer.
    std::uint64_t answerBytes = 0; ///< Size of the whole answer in bytes.
    std::string json; ///< Set for ViewCall.
    std::string piece; ///< Set for AnswerCall.
};

/// A reply for work that provably did not run.
ZoneReply notRunReply(const model::JobSpec &spec, base::ResultCode code, const std::string &reason);

/// A reply for work that may have run.
ZoneReply unknownReply(const model::JobSpec &spec, const std::string &reason);

/// A reply to a call that could not be handled.
ZoneReply failureReply(base::ResultCode code, const std::string &reason);

using ReplyCallback = std::function<void(ZoneReply)>;

} // namespace cranberryreel::zone
