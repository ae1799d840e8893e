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

/// Times and faults of a simulation.
struct SimOptions {
    std::chrono::milliseconds checkpointTime{500}; ///< Time from a preemption to the end of the task.
    std::chrono::milliseconds usageLag{2000}; ///< Time from a start to the only usage report of the task.
    std::chrono::milliseconds sampleInterval{1000};
    std::chrono::milliseconds warmUp{60000}; ///< Jobs that arrive earlier are not measured.
    absl::flat_hash_set<std::string> failing; ///< Upstreams that fail each task shortly after its start.
    std::uint32_t attempts = 3; ///< Maximum attempts of a task that fails.
};

/// The state of the zone at one moment.
struct Sample {
    std::chrono::milliseconds at{0};
    std::uint32_t vmsInUse = 0;
    double volumeBound = 0; ///< Number of VMs that the reservations would fill in the scarcest dimension without any waste.
    double waiting = 0;
    std::uint32_t overcommittedVms = 0; ///< VMs whose tasks actually use more memory than the VM has.
};

/// What a simulation measured.
struct SimResult {
    std::vector<double> requestWaits; ///< Milliseconds; a refused request counts with its whole deadline.
    std::vector<double> batchWaits; ///< Milliseconds to the first start of each task.
    std::vector<double> gangWaits;
    std::vector<Sample> samples;
    std::uint64_t starts = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t refused = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0; ///< Tasks that used up their attempts.
    std::uint64_t startsOnFailing = 0;
    std::uint64_t planCalls = 0;
    double planSeconds = 0;
    double worstPlanMillis = 0;
};

/// Discrete-event simulation of a zone around one planner: arrivals, ends, usage reports, cancellations, failing upstreams. Time is simulated. Owned by a
/// scenario; used by one thread.
class ZoneSim
{
public:
    ZoneSim(policy::Planner &plannerToTest, const ZoneShape &shape, const SimOptions &settings);

    SimResult run(std::vector<SimJob> workload, std::chrono::milliseconds length);

    /// Called at each sample, for scenarios that record more.
    std::function<void(std::chrono::milliseconds)> onSample;

    /// Called before each job is submitted to the planner.
    std::function<void(const SimJob &)> onArrival;

    /// A running task with its actual end, which the planner does not know.
    struct RunningTask {
        std::uint32_t vm = 0;
        std::chrono::milliseconds end{0};
        model::Resources reserved;
        bool runsForever = false;
    };
    std::vector<RunningTask> runningTasks() const;

    policy::Planner &planner()
    {
        return this->testedPlanner;
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
        bool wasStarted = false;
        std::uint32_t vm = 0;
        std::uint32_t attempt = 0;
        std::uint32_t failures = 0;
        std::chrono::milliseconds startedAt{0};
        std::chrono::milliseconds remaining{0};
        model::Resources reserved;
    };

    struct VmUsage {
        std::uint32_t tasks = 0;
        model::Resources reserved;
        model::Resources used;
    };

    base::SteadyTime steadyNow() const;
    void pushEvent(std::chrono::milliseconds at, EventKind kind, std::uint32_t job, std::uint32_t task = 0, std::uint32_t attempt = 0);
    void handleEvent(const Event &event);
    void submitJob(std::uint32_t job);
    void endTask(const Event &event, policy::TaskEnd taskEnd);
    void plan();
    void applyDecision(const policy::Decision &decision);
    void startTask(const policy::Decision &decision);
    void refuse(std::uint32_t job);
    void release(const SimJob &job, Task &task);
    void takeSample();
    bool isMeasured(const SimJob &job) const;

    policy::Planner &testedPlanner;
    ZoneShape zone;
    SimOptions options;
    std::vector<SimJob> jobs;
    std::vector<std::vector<Task>> tasks;
    absl::flat_hash_map<std::string, std::uint32_t> jobById;
    absl::flat_hash_map<std::string, std::uint32_t> vmByUpstream;
    std::vector<VmUsage> vmUsages;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds now{0};
    SimResult result;
};

} // namespace cranberryreel::bench
