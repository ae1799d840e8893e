#pragma once

#include "policy/Planner.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <random>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// The baseline schedulers, by how they choose a VM.
enum class Baseline : std::uint8_t {
    FirstFit,
    BestFit,
    WorstFit,
    Random,
    Fifo, ///< First fit; no task overtakes the oldest waiting one.
};

const char *baselineName(Baseline baseline);

/// Textbook schedulers behind the Planner interface: one queue in order of arrival, declared sizes, a scan of all VMs. Tasks that do not fit are skipped,
/// except with FIFO. Requests past their deadline are refused. Owned by the benchmark; used by one thread.
class BaselinePlanner : public policy::Planner
{
public:
    BaselinePlanner(Baseline chosenBaseline, std::uint64_t seed);

    void setRules(const policy::RulesView &rules) override;
    void setVm(const policy::VmView &vm) override;
    void removeVm(const std::string &vm) override;
    void setUpstream(const policy::UpstreamView &upstream, base::SteadyTime now) override;
    void removeUpstream(const std::string &id, base::SteadyTime now) override;
    policy::Decision enqueue(const model::JobSpec &spec, base::SteadyTime now) override;
    void restore(const model::JobSpec &spec, base::SteadyTime now) override;
    void
    adoptTask(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now) override;
    void cancel(const model::JobId &job, base::SteadyTime now) override;
    void taskStarted(const model::JobId &job, std::uint32_t task, base::SteadyTime now) override;
    void taskEnded(const model::JobId &job, std::uint32_t task, policy::TaskEnd end, bool requeue, base::SteadyTime now) override;
    void reportUsage(const model::JobId &job, std::uint32_t task, const model::Resources &used, base::SteadyTime now) override;
    std::vector<policy::Decision> plan(base::SteadyTime now, std::size_t maxDecisions) override;
    std::string explain(const model::JobId &job, base::SteadyTime now) const override;
    std::vector<policy::PartnerShare> shares(base::SteadyTime now) const override;
    policy::LoadView load(base::SteadyTime now) const override;

private:
    struct Vm {
        std::string upstream;
        model::Resources free;
        std::uint32_t freeSlots = 0;
        std::uint32_t tasks = 0;
    };

    struct QueueItem {
        model::JobId job;
        std::vector<std::uint32_t> tasks; ///< One task, or all tasks of a gang.
    };

    struct Job {
        model::JobSpec spec;
        base::SteadyTime deadline;
        absl::flat_hash_map<std::uint32_t, std::size_t> vmByTask; ///< VM by running task.
        bool cancelled = false;
    };

    std::size_t chooseVm(const model::Resources &need);
    bool startItem(const QueueItem &item, std::vector<policy::Decision> &decisions);
    void allocate(std::size_t vm, const model::Resources &size);
    void release(std::size_t vm, const model::Resources &size);

    Baseline baseline;
    std::mt19937_64 random;
    std::vector<Vm> vms;
    absl::flat_hash_map<std::string, std::size_t> vmByName;
    absl::flat_hash_map<std::string, std::size_t> vmByUpstream;
    absl::flat_hash_map<model::JobId, Job> jobs;
    std::list<QueueItem> queue;
};

} // namespace cranberryreel::bench
