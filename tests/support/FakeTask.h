#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"
#include "http/Response.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::testsupport
{

/// An answer that is held back until its task ends or its wait is over.
struct HeldAnswer {
    http::Responder respond;
    std::uint64_t connection = 0;
    base::SteadyTime until;
};

/// One task on a fake upstream.
struct FakeTask {
    std::string id;
    std::uint32_t attempt = 0;
    std::string kind;
    std::string payload;
    model::Resources reserved;
    model::Resources uses;
    model::JobState state = model::JobState::Running;
    bool failsAtEnd = false;
    std::string answerAtEnd;
    std::string answer;
    base::SteadyTime startedAt;
    std::optional<base::SteadyTime> endsAt; ///< Empty: runs until it is stopped.
    base::SteadyTime leaseUntil;
    std::vector<HeldAnswer> held;
};

} // namespace cranberryreel::testsupport
