#pragma once

#include "observe/Log.h"

namespace cranberryreel::link
{

/// The voice of this part in the log.
inline const observe::Log &linkLog()
{
    static const observe::Log log("link");
    return log;
}

} // namespace cranberryreel::link
