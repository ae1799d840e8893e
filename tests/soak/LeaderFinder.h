#pragma once

#include "support/PlatformCell.h"

#include <string>

namespace cranberryreel::soak
{

/// The VM with a disk that acquired the leadership of a cell last, by the processes' logs; the first one if none has. Called by the cell's thread.
std::string findLeader(const support::PlatformCell &cell);

} // namespace cranberryreel::soak
