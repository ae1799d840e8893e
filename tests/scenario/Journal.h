#pragma once

#include "cranberryreel/model/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// One line that a fake upstream wrote: a task began or ended there.
struct JournalEvent {
    bool isStart = false;
    std::string task;
    std::uint32_t attempt = 0;
    std::string upstream;
    std::string vm;
    std::int64_t timeNs = 0; ///< Wall clock; all processes share one machine.
    model::Resources size;
    std::string token; ///< The request's own word, from its payload.
    std::string outcome;
};

/// Whole lines of a journal; a torn last line is left out.
std::vector<JournalEvent> readJournal(const std::string &path);

/// A task ran here from start to end.
struct RunInterval {
    std::string task;
    std::uint32_t attempt = 0;
    std::string upstream;
    std::string vm;
    std::string token;
    model::Resources size;
    std::int64_t startNs = 0;
    std::int64_t endNs = 0; ///< Greatest value where it still runs.
    std::string outcome;
};

std::vector<RunInterval> runIntervals(const std::vector<JournalEvent> &events);

} // namespace cranberryreel::scenario
