#pragma once

#include "cell/TaskKey.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::cell
{

enum class RunPhase : std::uint8_t {
    Adopted, ///< Found in the log by a new leader; its upstream has not been read back yet.
    Ordered, ///< The start is on its way, or had no answer yet.
    Confirmed, ///< The upstream said that it runs.
    Stopping, ///< It is to end, wherever it is.
};

/// What the leading scheduler knows of one run that the log records. Lives for one term at most.
struct RunTrack {
    RunKey key;
    std::string task; ///< Its name at the upstream.
    std::uint64_t upstream = 0;
    RunPhase phase = RunPhase::Ordered;
    int starts = 0; ///< Start orders sent.
    std::chrono::milliseconds deadline{0}; ///< Latest one that a start named, on the upstream's clock: what arrives after it is refused.
    bool unanswered = false; ///< Some start had no answer and may be carried out yet.
    bool ending = false; ///< Its end is on the way into the log.
    bool calling = false; ///< A start or stop is on its way.
    base::SteadyTime nextCall{};
    base::SteadyTime startedAt{}; ///< When the upstream confirmed it.
    base::SteadyTime stoppedAt{}; ///< When the upstream confirmed a stop; zero before.
    std::string checkpoint; ///< Last one reported.
    int percent = -1; ///< Of its work, as last reported.
    base::SteadyTime progressAt{}; ///< When the percentage last changed.
    base::SteadyTime seenAt{}; ///< When the upstream last listed it.
    std::int64_t figure = 0; ///< See RunReport::figure.
};

} // namespace cranberryreel::cell
