#pragma once

#include "entry/RoutedRequest.h"
#include "observe/Metrics.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cranberryreel::entry
{

/// The kind of bearer key that a route requires.
enum class Access : std::uint8_t {
    Open, ///< No key.
    Upstream, ///< The upstreams' key, if one is configured.
    Partner, ///< The key of any partner, or an operator's key.
    Operator,
};

/// One method and path of the API with its handler.
struct Route {
    std::string method;
    std::string path; ///< A segment "ID" matches any one non-empty segment.
    Access access = Access::Open;
    std::function<void(RoutedRequest)> handle;
    observe::DurationHistogram *durations = nullptr; ///< Time from receipt to response; set by the Router, never null afterwards.
};

} // namespace cranberryreel::entry
