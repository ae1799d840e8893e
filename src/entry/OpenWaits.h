#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>

namespace cranberryreel::entry
{

/// Lookups that wait for an outcome, so that a stop can answer them with the state as it is. Owned by the WorkHandlers; any thread.
class OpenWaits
{
public:
    /// `answerNow` makes the waiting one be answered soon; returns the number to remove it by.
    std::uint64_t add(const std::function<void()> &answerNow);
    void remove(std::uint64_t number);
    void answerAll();

private:
    absl::Mutex mutex;
    std::uint64_t last ABSL_GUARDED_BY(mutex) = 0;
    absl::flat_hash_map<std::uint64_t, std::function<void()>> waits ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::entry
