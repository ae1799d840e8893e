#include "Workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace cranberryreel::bench
{

namespace
{

using model::JobKind;

constexpr double ParetoShape = 1.8;
constexpr double MaxRunTimeFactor = 30.0;
constexpr std::chrono::milliseconds BurstPeriod{50000};
constexpr double BurstFraction = 0.2;
constexpr std::uint32_t MaxTasksPerJob = 12;

/// Draws the jobs of one workload from its options and seed.
class Generator
{
public:
    explicit Generator(const WorkloadOptions &chosen)
        : options(chosen)
        , random(chosen.seed)
    {
    }

    std::vector<SimJob> generate()
    {
        for (auto &kind : this->names) {
            for (std::uint32_t i = 0; i < this->options.partners * this->options.namesPerPartner; ++i) {
                kind.push_back(this->drawName());
            }
        }
        this->addServices();
        this->addArrivals(JobKind::Request, this->options.requestFraction, this->options.requestMean);
        this->addArrivals(JobKind::Batch, this->options.batchFraction, this->options.batchMean);
        std::stable_sort(this->jobs.begin(), this->jobs.end(), [](const SimJob &left, const SimJob &right) { return left.arrival < right.arrival; });
        for (std::size_t i = 0; i < this->jobs.size(); ++i) {
            this->jobs[i].spec.id = "j" + std::to_string(i);
        }
        return std::move(this->jobs);
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    double lognormal(double mean, double spread)
    {
        return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(this->random);
    }

    std::chrono::milliseconds drawRunTime(std::chrono::milliseconds mean, double factor)
    {
        const double scale = factor * static_cast<double>(mean.count()) * (ParetoShape - 1) / ParetoShape;
        const double drawn = scale / std::pow(1 - this->uniform(), 1 / ParetoShape);
        return std::chrono::milliseconds(std::max<std::int64_t>(1, std::llround(std::min(drawn, MaxRunTimeFactor * static_cast<double>(mean.count())))));
    }

    /// The characteristics of all jobs of one partner and name.
    struct NameProfile {
        double cpuMillis = 0;
        double memoryMiB = 0;
        double declaredFactor = 1; ///< Ratio of declared to actual size.
        double runTimeFactor = 1; ///< Ratio of run time to the mean of the kind.
    };

    NameProfile drawName()
    {
        const ZoneShape &zone = this->options.zone;
        const double cpu = this->lognormal(this->options.meanCpuMillis, this->options.cpuSpread);
        const double ratio = static_cast<double>(zone.capacity.memoryMiB) / static_cast<double>(zone.capacity.cpuMillis);
        return {cpu, cpu * ratio * this->lognormal(0.9, 0.5), this->lognormal(1.15, this->options.declarationSpread), this->lognormal(1.0, 0.5)};
    }

    model::Resources drawSize(const NameProfile &name)
    {
        const ZoneShape &zone = this->options.zone;
        const double cpu = std::clamp(name.cpuMillis * this->lognormal(1.0, 0.25), 100.0, zone.capacity.cpuMillis / 2.0);
        const double memory = std::clamp(name.memoryMiB * this->lognormal(1.0, 0.25), 64.0, zone.capacity.memoryMiB / 2.0);
        return {std::llround(cpu), std::llround(memory), 0};
    }

    model::Resources drawDeclaration(const NameProfile &name, const model::Resources &usage)
    {
        const double error = name.declaredFactor * this->lognormal(1.0, 0.1);
        const model::Resources &capacity = this->options.zone.capacity;
        return {std::clamp<std::int64_t>(std::llround(usage.cpuMillis * error), 50, capacity.cpuMillis),
                std::clamp<std::int64_t>(std::llround(usage.memoryMiB * error), 32, capacity.memoryMiB),
                usage.accelerators};
    }

    SimJob makeJob(JobKind kind, std::chrono::milliseconds arrival, std::chrono::milliseconds mean)
    {
        SimJob job;
        const std::size_t partner = this->random() % this->options.partners;
        const std::size_t index = this->random() % this->options.namesPerPartner;
        const NameProfile &name = this->names[static_cast<std::size_t>(kind)][partner * this->options.namesPerPartner + index];
        job.arrival = arrival;
        job.runTime = mean.count() > 0 ? this->drawRunTime(mean, name.runTimeFactor) : mean;
        job.usage = this->drawSize(name);
        job.spec.kind = kind;
        job.spec.partner = "partner" + std::to_string(partner);
        job.spec.name = "kind" + std::to_string(static_cast<int>(kind)) + "-" + std::to_string(index);
        job.spec.perTask = this->drawDeclaration(name, job.usage);
        job.spec.deadline = kind == JobKind::Request ? this->options.requestDeadline : std::chrono::milliseconds(0);
        const bool declaresRunTime = kind == JobKind::Batch && this->uniform() < 0.7;
        job.spec.runTime = declaresRunTime
            ? std::chrono::milliseconds(std::llround(job.runTime.count() * this->lognormal(1.1, 2 * this->options.declarationSpread)))
            : std::chrono::milliseconds(0);
        return job;
    }

    /// Returns the average fraction of the zone that a task of this size takes in its scarcest dimension.
    double zoneFraction(const model::Resources &size) const
    {
        const ZoneShape &zone = this->options.zone;
        const double vms = zone.vms;
        return std::max({size.cpuMillis / (vms * zone.capacity.cpuMillis), size.memoryMiB / (vms * zone.capacity.memoryMiB), 1.0 / (vms * zone.slots)});
    }

    void addServices()
    {
        const double target = this->options.load * this->options.serviceFraction;
        for (double sum = 0; sum < target;) {
            SimJob job = this->makeJob(JobKind::Service, std::chrono::milliseconds(0), std::chrono::milliseconds(0));
            job.spec.tasks = 1 + static_cast<std::uint32_t>(this->random() % 4);
            sum += this->zoneFraction(model::Resources::larger(job.spec.perTask, job.usage)) * job.spec.tasks;
            this->jobs.push_back(job);
        }
    }

    std::chrono::milliseconds drawArrival()
    {
        const auto length = static_cast<double>(this->options.length.count());
        const double burstProbability = BurstFraction * this->options.burstiness;
        const double period = std::floor(this->uniform() * length / static_cast<double>(BurstPeriod.count()));
        const double within = this->uniform() < burstProbability ? this->uniform() * BurstFraction : BurstFraction + this->uniform() * (1 - BurstFraction);
        return std::chrono::milliseconds(std::llround((period + within) * static_cast<double>(BurstPeriod.count())));
    }

    void addArrivals(JobKind kind, double fraction, std::chrono::milliseconds mean)
    {
        const double target = this->options.load * fraction * static_cast<double>(this->options.length.count());
        for (double sum = 0; sum < target;) {
            SimJob job = this->makeJob(kind, this->drawArrival(), mean);
            job.spec.tasks = kind == JobKind::Batch ? 1 + static_cast<std::uint32_t>(this->random() % MaxTasksPerJob) : 1;
            sum += this->zoneFraction(model::Resources::larger(job.spec.perTask, job.usage)) * job.spec.tasks * static_cast<double>(job.runTime.count());
            this->jobs.push_back(job);
        }
    }

    const WorkloadOptions &options;
    std::mt19937_64 random;
    std::array<std::vector<NameProfile>, 4> names;
    std::vector<SimJob> jobs;
};

} // namespace

std::vector<SimJob> makeWorkload(const WorkloadOptions &options)
{
    return Generator(options).generate();
}

std::string vmName(std::uint32_t vm)
{
    return "vm" + std::to_string(vm);
}

std::string upstreamName(std::uint32_t vm)
{
    return "up" + std::to_string(vm);
}

void buildZone(policy::Planner &planner, const ZoneShape &zone, base::SteadyTime now)
{
    for (std::uint32_t vm = 0; vm < zone.vms; ++vm) {
        model::Resources capacity = zone.capacity;
        capacity.accelerators = vm < zone.acceleratorVms ? zone.acceleratorsEach : 0;
        planner.setVm({vmName(vm), "rack" + std::to_string(vm / zone.vmsPerRack), capacity, false});
        planner.setUpstream({upstreamName(vm), vmName(vm), "", zone.slots, true}, now);
    }
}

} // namespace cranberryreel::bench
