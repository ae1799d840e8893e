#pragma once

#include "zone/JobRecord.h"
#include "zone/TaskChange.h"

#include <array>

namespace cranberryreel::zone
{

/// The rules for changes of a task's state, applied equally on every member. Each function returns false, and changes nothing, if the change is not allowed.

/// Allowed for the next attempt of a waiting task whose job is not cancelled.
bool applyAssign(JobRecord &job, const TaskChange &change);

/// Allowed for the current attempt of a task that runs or whose outcome is unknown.
bool applyEnd(JobRecord &job, const TaskChange &change);

/// Allowed for the current attempt of a running task that may run again: its work is repeatable, or the attempt provably did not run.
bool applyRequeue(JobRecord &job, const TaskChange &change);

/// Ends every waiting task; running tasks continue until their upstream has stopped them.
void applyCancel(JobRecord &job);

/// The rules as a table by TaskChangeKind. Tests replace single rules with faulty ones to show that their checks detect the fault.
struct TaskRules {
    using Rule = bool (*)(JobRecord &, const TaskChange &);

    std::array<Rule, 3> byKind = {&applyAssign, &applyEnd, &applyRequeue};
    void (*cancel)(JobRecord &) = &zone::applyCancel;
};

} // namespace cranberryreel::zone
