#pragma once

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <utility>

namespace cranberryreel::cell
{

/// The jobs of which an upstream has begun a task and whose record (Command.begun) is yet to be proposed. The record goes with the next batch, or in one of its
/// own after a while, so that it costs hardly any commits. Used by the scheduler's thread only. Owned by the TermContext.
class BegunJobs
{
public:
    void add(std::uint64_t job, base::SteadyTime now)
    {
        if (this->jobs.empty()) {
            this->oldest = now;
        }
        this->jobs.insert(job);
    }

    /// Whether the record can no longer wait for a batch.
    bool isDue(base::SteadyTime now) const
    {
        return !this->jobs.empty() && now - this->oldest >= MaxDelay;
    }

    std::set<std::uint64_t> take()
    {
        return std::exchange(this->jobs, {});
    }

private:
    /// The count of pending jobs may be 2 s old.
    static constexpr std::chrono::milliseconds MaxDelay{300};

    std::set<std::uint64_t> jobs;
    base::SteadyTime oldest{};
};

} // namespace cranberryreel::cell
