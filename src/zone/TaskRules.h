#pragma once

#include "zone/JobRecord.h"
#include "zone/TaskChange.h"

#include <array>

namespace cranberryreel::zone
{

/// The rules of one task's life, applied alike on every member. Each returns false, and changes nothing, when the step is not allowed.

/// Allowed for a task that waits, in a job that is not cancelled, as its next attempt.
bool assign(JobRecord &job, const TaskChange &change);

/// Allowed for the current attempt of a task that runs, or whose outcome is still unknown.
bool end(JobRecord &job, const TaskChange &change);

/// Allowed for the current attempt of a task that runs and may run again: its work is repeatable, or the attempt provably never ran.
bool requeue(JobRecord &job, const TaskChange &change);

/// Ends every waiting task; those that run go on until their upstream has stopped them.
void cancel(JobRecord &job);

/// The rules as a table, by TaskChangeKind; proofs replace single ones to show that their oracles notice.
struct TaskRules {
    using Rule = bool (*)(JobRecord &, const TaskChange &);

    std::array<Rule, 3> ofKind = {&assign, &end, &requeue};
    void (*cancel)(JobRecord &) = &zone::cancel;
};

} // namespace cranberryreel::zone
