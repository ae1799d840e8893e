#pragma once

#include "Workload.h"
#include "policy/Planner.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

struct SimOptions {
    std::chrono::milliseconds checkpointTime{500}; ///< From a preemption to the end of the task.
    std::chrono::milliseconds usageLag{2000}; ///< From a start to the one report of its usage.
    std::chrono::milliseconds sampleEvery{1000};
    std::chrono::milliseconds warmUp{60000}; ///< Arrivals before it are not measured.
    absl::flat_hash_set<std::string> failing; ///< Upstreams that fail each task shortly after its start.
    std::uint32_t attempts = 3; ///< Of a task that fails.
};

/// One look at the zone.
struct Sample {
    std::chrono::milliseconds at{0};
    std::uint32_t vmsInUse = 0;
    double volumeBound = 0; ///< VMs that the reserved volume fills, in its scarcest dimension, with nothing wasted.
    double waiting = 0;
    std::uint32_t overfullVms = 0; ///< VMs whose tasks truly use more memory than there is.
};

struct SimResult {
    std::vector<double> requestWaits; ///< Milliseconds; refused requests count with their whole deadline.
    std::vector<double> batchWaits; ///< Milliseconds to the first start of each task.
    std::vector<double> gangWaits;
    std::vector<Sample> samples;
    std::uint64_t starts = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t refused = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0; ///< Tasks that ran out of attempts.
    std::uint64_t startsOnFailing = 0;
    std::uint64_t planCalls = 0;
    double planSeconds = 0;
    double worstPlanMillis = 0;
};

/// A small event loop around one planner: arrivals, ends, usage reports, cancellations, failing upstreams. Time is simulated.
class ZoneSim
{
public:
    ZoneSim(policy::Planner &chosen, const ZoneShape &shape, const SimOptions &settings);

    SimResult run(std::vector<SimJob> work, std::chrono::milliseconds length);

    /// Called at each sample, for scenarios that look at more.
    std::function<void(std::chrono::milliseconds)> onSample;

    /// Called before each job is handed to the planner.
    std::function<void(const SimJob &)> onArrival;

    /// True remaining run times, for ideals: when each running task of the VM ends, and what it holds.
    struct Running {
        std::uint32_t vm = 0;
        std::chrono::milliseconds end{0};
        model::Resources reserved;
        bool forever = false;
    };
    std::vector<Running> running() const;

    policy::Planner &planner()
    {
        return this->subject;
    }

private:
    enum class EventKind : std::uint8_t {
        Arrival,
        End,
        Fail,
        Stopped,
        Usage,
        Cancel,
        Sample,
    };

    struct Event {
        std::chrono::milliseconds at{0};
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Arrival;
        std::uint32_t job = 0;
        std::uint32_t task = 0;
        std::uint32_t attempt = 0;

        bool operator>(const Event &other) const
        {
            return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
        }
    };

    struct Task {
        bool runs = false;
        bool everStarted = false;
        std::uint32_t vm = 0;
        std::uint32_t attempt = 0;
        std::uint32_t failures = 0;
        std::chrono::milliseconds startedAt{0};
        std::chrono::milliseconds left{0};
        model::Resources reserved;
    };

    struct VmUse {
        std::uint32_t tasks = 0;
        model::Resources reserved;
        model::Resources used;
    };

    base::SteadyTime clock() const;
    void push(std::chrono::milliseconds at, EventKind kind, std::uint32_t job, std::uint32_t task = 0, std::uint32_t attempt = 0);
    void handle(const Event &event);
    void arrive(std::uint32_t job);
    void end(const Event &event, policy::TaskEnd how);
    void plan();
    void take(const policy::Decision &decision);
    void start(const policy::Decision &decision);
    void refuse(std::uint32_t job);
    void release(const SimJob &job, Task &task);
    void sample();
    bool isMeasured(const SimJob &job) const;

    policy::Planner &subject;
    ZoneShape zone;
    SimOptions options;
    std::vector<SimJob> jobs;
    std::vector<std::vector<Task>> tasks;
    absl::flat_hash_map<std::string, std::uint32_t> jobById;
    absl::flat_hash_map<std::string, std::uint32_t> vmByUpstream;
    std::vector<VmUse> uses;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds now{0};
    SimResult result;
};

} // namespace cranberryreel::bench
