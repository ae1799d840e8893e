#pragma once

#include "cell/AdviceDispatcher.h"
#include "cell/CellOptions.h"
#include "cell/CellStore.h"
#include "cell/CommandBatch.h"
#include "cell/RunTable.h"
#include "cell/SlowUpstreamDetector.h"
#include "cell/UpstreamCalls.h"
#include "cell/UpstreamLife.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace cranberryreel::cell
{

/// What the parts of one term of leadership share. Used by the scheduler's thread only, but for the store, the calls and `post`.
struct TermContext {
    const CellOptions &options;
    std::uint64_t epoch = 0; ///< The term: orders of lower epochs are refused by upstreams that have seen this one.
    CellStore &store;
    UpstreamCalls &calls;
    AdviceDispatcher &advice;
    CommandBatch batch;
    RunTable runs;
    SlowUpstreamDetector slow;
    std::map<std::uint64_t, UpstreamLife> lives; ///< By the upstream's number.

    /// The upstream as the log has it; nothing when it is gone.
    std::optional<wire::UpstreamT> recordOf(std::uint64_t upstream) const
    {
        return this->store.read([upstream](const CellState &state) {
            const auto found = state.upstreams().find(upstream);
            return found == state.upstreams().end() ? std::nullopt : std::optional<wire::UpstreamT>(found->second);
        });
    }

    /// Runs it on the scheduler's thread while this term lasts. Any thread.
    std::function<void(std::function<void()>)> post;

    /// Something changed that may let work start.
    std::function<void()> wake;

    /// The lease of this term holds: what is sent now cannot cross the orders of a later leader unfenced.
    std::function<bool()> leads;
};

} // namespace cranberryreel::cell
