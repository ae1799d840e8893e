#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>

namespace cranberryreel::entry
{

/// The lookups that wait for a final state, so that a stopping VM can answer them with the current state. Shared by the WorkHandlers and their callbacks; any
/// thread.
class WaitingLookups
{
public:
    /// `answerNow` requests the current state for the waiting caller. Returns the number that remove() takes.
    std::uint64_t add(const std::function<void()> &answerNow);
    void remove(std::uint64_t number);

    /// Calls `answerNow` of each lookup and removes all lookups.
    void answerAll();

private:
    absl::Mutex mutex;
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    absl::flat_hash_map<std::uint64_t, std::function<void()>> lookups ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::entry
