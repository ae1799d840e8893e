#pragma once

#include "entry/Call.h"
#include "observe/Metrics.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cranberryreel::entry
{

/// Whose key a route wants.
enum class Access : std::uint8_t {
    Open,
    Upstream,
    Partner, ///< Any partner, or an operator.
    Operator,
};

/// One method and path of the API, and what serves it.
struct Route {
    std::string method;
    std::string path; ///< "ID" as a whole segment stands for any one segment.
    Access access = Access::Open;
    std::function<void(Call)> handle;
    observe::DurationHistogram *durations = nullptr; ///< From receipt to answer; set by the Router.
};

} // namespace cranberryreel::entry
