#include "policy/KindPolicy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cranberryreel::policy
{

namespace
{

constexpr std::size_t BestFitCandidates = 8;
constexpr std::size_t BestFitPerCell = 2;
constexpr std::size_t SpreadCandidates = 64;
constexpr std::size_t SpreadPerCell = 16;
constexpr double ImbalanceWeight = 0.5; ///< Weight of leaving CPU or memory unused where the other runs out.
constexpr double SameRackPenalty = 100.0;
constexpr double SameVmPenalty = 10.0;

double fraction(std::int64_t amount, std::int64_t total)
{
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0;
}

/// Returns the fraction of the VM that stays free after the placement, plus a penalty when CPU and memory are out of balance.
double leftoverScore(const Ledger &ledger, VmIndex index, const model::Resources &need)
{
    const LedgerVm &vm = ledger.vm(index);
    const model::Resources left = vm.free() - need;
    const double cpu = fraction(left.cpuMillis, vm.capacity.cpuMillis);
    const double memory = fraction(left.memoryMiB, vm.capacity.memoryMiB);
    const double accelerators = fraction(left.accelerators, vm.capacity.accelerators);
    return cpu + memory + accelerators + ImbalanceWeight * std::abs(cpu - memory);
}

class RequestPolicy : public KindPolicy
{
public:
    double score(const Ledger &ledger, VmIndex vm, const JobEntry &job) const override
    {
        return leftoverScore(ledger, vm, job.need);
    }

    SearchLimits searchLimits() const override
    {
        return {BestFitCandidates, BestFitPerCell, false};
    }

    bool isUrgent() const override
    {
        return true;
    }

    bool isPreemptible() const override
    {
        return false;
    }

    bool mayBackfill() const override
    {
        return true;
    }
};

class ServicePolicy : public KindPolicy
{
public:
    double score(const Ledger &ledger, VmIndex vm, const JobEntry &job) const override
    {
        const auto rack = job.tasksByRack.find(ledger.vm(vm).rack);
        const auto sameVm = job.tasksByVm.find(vm);
        const double penalty =
            (rack == job.tasksByRack.end() ? 0 : SameRackPenalty * rack->second) + (sameVm == job.tasksByVm.end() ? 0 : SameVmPenalty * sameVm->second);
        return penalty + leftoverScore(ledger, vm, job.need);
    }

    SearchLimits searchLimits() const override
    {
        return {SpreadCandidates, SpreadPerCell, true};
    }

    bool isUrgent() const override
    {
        return true;
    }

    bool isPreemptible() const override
    {
        return false;
    }

    bool mayBackfill() const override
    {
        return false;
    }
};

class BatchPolicy : public RequestPolicy
{
public:
    bool isUrgent() const override
    {
        return false;
    }

    bool isPreemptible() const override
    {
        return true;
    }
};

class GangPolicy : public RequestPolicy
{
public:
    bool isUrgent() const override
    {
        return false;
    }

    bool mayBackfill() const override
    {
        return false;
    }
};

} // namespace

const KindPolicy &KindPolicy::forKind(model::JobKind kind)
{
    static const RequestPolicy request;
    static const ServicePolicy service;
    static const BatchPolicy batch;
    static const GangPolicy gang;
    static const std::array<const KindPolicy *, 4> policies{&request, &service, &batch, &gang};
    return *policies[static_cast<std::size_t>(kind)];
}

} // namespace cranberryreel::policy
