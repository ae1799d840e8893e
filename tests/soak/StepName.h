#pragma once

#include <string>

namespace cranberryreel::soak
{

/// The step (ID.K.STEP) of a task (ID.K.STEP.INDEX).
inline std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace cranberryreel::soak
