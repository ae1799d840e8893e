#pragma once

#include "cranberryreel/model/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// One line of a fake upstream's journal: a task started or ended.
struct JournalEvent {
    bool isStart = false;
    std::string task;
    std::uint32_t attempt = 0;
    std::string upstream;
    std::string vm;
    std::int64_t timeNs = 0; ///< Wall clock in nanoseconds; comparable, because all processes run on one machine.
    model::Resources size;
    std::string token; ///< Unique text of the request, from its payload.
    std::string outcome;
};

/// Reads the complete lines of a journal; an incomplete last line is skipped.
std::vector<JournalEvent> readJournal(const std::string &path);

/// One attempt of a task at an upstream, from its start to its end.
struct RunInterval {
    std::string task;
    std::uint32_t attempt = 0;
    std::string upstream;
    std::string vm;
    std::string token;
    model::Resources size;
    std::int64_t startNs = 0;
    std::int64_t endNs = 0; ///< The greatest value while the attempt still runs.
    std::string outcome;
};

/// Pairs the start and end events of each attempt.
std::vector<RunInterval> runIntervals(const std::vector<JournalEvent> &events);

} // namespace cranberryreel::scenario
