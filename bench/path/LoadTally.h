#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// Counts answers by outcome and stores the latencies of completed requests. Owned by a LoadGenerator; may be used from any thread.
class LoadTally
{
public:
    void add(const std::string &outcome, std::chrono::nanoseconds latency);

    /// Counts a request that was due but not sent because too many were open.
    void addUnsent();

    /// Prints the tally of `duration` of counted time.
    void print(std::chrono::nanoseconds duration, bool json) const;

private:
    mutable absl::Mutex mutex;
    std::map<std::string, std::uint64_t> outcomes ABSL_GUARDED_BY(mutex);
    std::vector<std::int64_t> doneMicroseconds ABSL_GUARDED_BY(mutex);
    std::uint64_t answered ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t unsent ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace cranberryreel::bench
