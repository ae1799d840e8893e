#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::cell
{

/// What the advice service said of one step.
struct AdviceResult {
    bool answered = false;
    bool busy = false; ///< Too many calls wait there.
    std::vector<std::pair<std::string, std::string>> tickets; ///< Upstream and ticket, for each allowed one of those asked for.
    std::string detail; ///< For logs.
};

using AdviceDone = std::function<void(AdviceResult)>;

/// Asks the service that knows which upstreams may run a step. It serves one call of each VM at a time.
class AdviceCalls
{
public:
    virtual ~AdviceCalls() = default;
    virtual void ask(const std::string &step, const std::vector<std::string> &upstreams, std::chrono::milliseconds limit, AdviceDone done) = 0;
};

} // namespace cranberryreel::cell
