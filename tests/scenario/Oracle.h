#pragma once

#include "scenario/Journal.h"
#include "scenario/Work.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// What a VM can hold.
struct VmRoom {
    model::Resources size;
    unsigned slots = 0;
};

/// What must hold after every scenario, read from what the upstreams did and what the callers were told. Each check returns one sentence a violation.
std::vector<std::string> ranInTwoPlaces(const std::vector<RunInterval> &intervals);
std::vector<std::string> ranTwice(const std::vector<RunInterval> &intervals, const std::vector<Work> &works);
std::vector<std::string> toldUntruly(const std::vector<RunInterval> &intervals, const std::vector<Work> &works);
std::vector<std::string> leftUnanswered(const std::vector<Work> &works);
std::vector<std::string> overfilled(const std::vector<RunInterval> &intervals, const std::map<std::string, VmRoom> &rooms);

} // namespace cranberryreel::scenario
