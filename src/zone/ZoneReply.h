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

/// A zone scheduler's answer to a call.
struct ZoneReply {
    base::ResultCode code = base::ResultCode::Ok; ///< NotLeader: ask `leader` instead; the call did nothing here unless `mayExist`.
    std::string reason;
    std::string leader; ///< VM of the active scheduler, as far as known.
    std::uint64_t epoch = 0;
    bool mayExist = false; ///< The submitted work may have been taken in, or have started; submit the same id again to learn of it.
    std::chrono::milliseconds nextIn{0}; ///< Announcements: when the next one is due.
    model::JobStatus status; ///< Its answer holds the first piece only, where the whole is larger.
    std::uint64_t answerBytes = 0; ///< Of the whole answer.
    std::string json; ///< Views.
    std::string piece; ///< A further piece of an answer.
};

/// The work provably did not run.
ZoneReply notRunReply(const model::JobSpec &spec, base::ResultCode code, const std::string &reason);

/// The work may have run.
ZoneReply unknownReply(const model::JobSpec &spec, const std::string &reason);

/// The call itself could not be served.
ZoneReply failureReply(base::ResultCode code, const std::string &reason);

using Reply = std::function<void(ZoneReply)>;

} // namespace cranberryreel::zone
