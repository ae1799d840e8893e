#pragma once

#include "cell/CellState.h"
#include "replication/StateMachine.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <string_view>

namespace cranberryreel::cell
{

/// The cell's state as the group's state machine: written by the group's thread, read by the scheduler's. Owned by the CellMember.
class CellStore : public replication::StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;

    /// Calls the reader with the state, which no command changes meanwhile; the reader must not keep references into it.
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
