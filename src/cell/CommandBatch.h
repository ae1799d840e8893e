#pragma once

#include "cell/generated/cell_generated.h"

#include "cranberryreel/base/ResultCode.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::cell
{

/// Ok: kept by the group and applied. NotLeader: it was not and will not be. GroupUnavailable: unknown.
using Committed = std::function<void(base::ResultCode)>;

/// The changes that go into the log next, and who waits for them. While one batch is on its way the next one gathers, so that a sync to disk carries all
/// that came meanwhile. Used by the scheduler's thread only.
class CommandBatch
{
public:
    wire::CommandT &command()
    {
        return *this->gathered;
    }

    void then(Committed done)
    {
        this->waiting.push_back(std::move(done));
    }

    bool empty() const
    {
        const wire::CommandT &next = *this->gathered;
        return !next.rules && next.upstreams.empty() && next.ends.empty() && next.jobs.empty() && next.cancels.empty() && next.placements.empty()
            && next.due.empty() && next.forget.empty();
    }

    std::pair<std::unique_ptr<wire::CommandT>, std::vector<Committed>> take()
    {
        return {std::exchange(this->gathered, std::make_unique<wire::CommandT>()), std::exchange(this->waiting, {})};
    }

private:
    std::unique_ptr<wire::CommandT> gathered = std::make_unique<wire::CommandT>();
    std::vector<Committed> waiting;
};

} // namespace cranberryreel::cell
