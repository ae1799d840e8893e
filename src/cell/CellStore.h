#pragma once

#include "cell/CellState.h"
#include "replication/StateMachine.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <string_view>

namespace cranberryreel::cell
{

/// The replicated state of the cell, as the state machine of the replication group. Any thread. Owned by the CellMember.
class CellStore : public replication::StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;

    /// Calls `reader` with the state under the lock and returns its result. The reader must not keep references into the state.
    template<typename Reader>
    auto read(Reader reader) const
    {
        const absl::MutexLock lock(&this->mutex);
        return reader(static_cast<const CellState &>(this->state));
    }

private:
    mutable absl::Mutex mutex;
    CellState state ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::cell
