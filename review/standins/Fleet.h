#pragma once

#include "Cell.h"
#include "Runner.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::review
{

/// The runners of a case: the one that the case is about, alone in the zone of the first entry VM and alone with the label "b", and 19 others. Owned by the
/// case.
class Fleet
{
public:
    /// Starts the others. The runner of the case has `cpuMillis` and is not started yet. It sends its heartbeats to `ownVm` first.
    Fleet(Cell &cell, const std::string &ownVm, std::int64_t cpuMillis, TaskLog &tasks, Record &record);

    Runner &runner();

    /// Ends all lives.
    void stop();

private:
    std::unique_ptr<Runner> own;
    std::vector<std::unique_ptr<Runner>> others;
};

/// A VM with a disk that neither leads nor stands in the zone of the first entry VM.
std::string bystander(const Cell &cell);

} // namespace cranberryreel::review
