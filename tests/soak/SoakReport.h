#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace cranberryreel::soak
{

/// Prints the time line of a soak and counts the promises that were broken. Any thread.
class SoakReport
{
public:
    void note(const std::string &text);
    void addViolation(const std::string &text);
    bool failed() const;

    /// A time as the time line shows it.
    std::chrono::duration<double> seconds(std::chrono::steady_clock::time_point time) const;

private:
    void print(const std::string &text) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    mutable absl::Mutex mutex;
    std::size_t violations ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace cranberryreel::soak
