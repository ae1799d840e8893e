#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::cell
{

/// The advice service's answer to one query.
struct AdviceResult {
    bool answered = false; ///< False when the query failed; `busy` and `detail` then give the cause.
    bool busy = false; ///< The service refused the query because too many calls wait there.
    std::vector<std::pair<std::string, std::string>> tickets; ///< Upstream ID and ticket of each allowed upstream among those named.
    std::string detail; ///< Cause of a failure, for logs.
};

using AdviceCallback = std::function<void(AdviceResult)>;

/// Client of the advice service, which decides on which upstreams a step may run. The service serves one call per VM at a time.
class AdviceCalls
{
public:
    virtual ~AdviceCalls() = default;
    /// Sends one query about a step, which fails after `limit`. `done` is called once, on any thread and possibly before query() returns.
    virtual void query(const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceCallback done) = 0;
};

} // namespace cranberryreel::cell
