#pragma once

#include "observe/Log.h"

namespace cranberryreel::link
{

/// The logger of the link component.
inline const observe::Log &linkLog()
{
    static const observe::Log log("link");
    return log;
}

} // namespace cranberryreel::link
